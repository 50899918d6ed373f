package e2e_test

import (
	"net/http"
	"strings"
	"testing"

	"pistachiomount.example/pistachiomount/standin"
)

// startedBy returns how many requests an upstream has started.
func (in *installation) startedBy(upstream string) int {
	return in.records()[upstream].Totals.Started
}

// awaitQuiet waits until an upstream starts nothing while others start many
// requests, and returns how many it has started.
func (in *installation) awaitQuiet(upstream string) int {
	in.t.Helper()
	count := -1
	eventually(in.t, upstream+" gets no new work", func() bool {
		before := in.startedBy(upstream)
		in.awaitMore("/records", 100)
		count = in.startedBy(upstream)
		return count == before
	})
	return count
}

// Guards against new work for an upstream that is leaving, by the platform's list
// or by its own answers, also when the list is no longer served afterwards.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	t.Parallel()
	signals := []struct {
		name string
		give func(in *installation, upstream string)
	}{
		{"platform list", func(in *installation, upstream string) {
			exchangeJSON(in.t, http.MethodPatch, in.platform.address("http")+"/v1/upstreams/"+upstream, map[string]string{"state": "leaving"}, nil)
		}},
		{"header", func(in *installation, upstream string) { in.behaveOne(upstream, standin.ModeDraining) }},
		{"status 503", func(in *installation, upstream string) { in.behaveOne(upstream, standin.ModeDraining503) }},
	}
	for _, s := range signals {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			in := newInstallation(t, 1, 2)
			in.awaitServing(in.accept(documentWith(t, 1)).Revision)
			l := in.startLoad(steady, nil)
			upstream := "records-bogota-bogota-1-1"
			eventually(t, "in use", func() bool { return in.startedBy(upstream) > 0 })
			s.give(in, upstream)
			count := in.awaitQuiet(upstream)
			exchangeJSON(t, http.MethodPut, in.platform.address("http")+"/standin", map[string]any{"failing": true}, nil)
			in.awaitMore("/records", 800)
			if after := in.startedBy(upstream); after != count {
				t.Errorf("%d requests started after the signal was taken in", after-count)
			}
			summary := l.end()
			t.Logf("%d requests, rejections %v, failures %v", summary.Requests, summary.Rejections, summary.Failures)
			if len(summary.Failures) > 0 {
				t.Errorf("failures %v", summary.Failures)
			}
		})
	}
}

// behaveOne sets the mode of one upstream.
func (in *installation) behaveOne(upstream string, mode standin.Mode) {
	in.t.Helper()
	for _, p := range in.upstreams {
		if strings.HasPrefix(upstream, strings.TrimPrefix(p.name, "upstreams-")) {
			exchangeJSON(in.t, http.MethodPut, p.address("control")+"/upstreams/"+upstream+"/standin", standin.Behaviour{Mode: mode}, nil)
		}
	}
}

// startedIn returns how many requests the upstreams of a region have started.
func (in *installation) startedIn(region string) int {
	total := 0
	for id, r := range in.records() {
		if strings.Contains(id, "-"+region+"-") {
			total += r.Totals.Started
		}
	}
	return total
}

// Guards against a drained region that keeps its share, against a shift that
// overloads the others, and against callers who notice the drain.
func TestRegionDrainedByDocument(t *testing.T) {
	t.Parallel()
	in := newInstallation(t, 3, 3)
	fast := []string{"points_per_second: 5", "points_per_second: 20"}
	in.awaitServing(in.accept(documentWith(t, 1, fast...)).Revision)
	in.warmUp()
	l := in.startLoad(steady, nil)
	in.awaitMore("/records", 100)
	in.accept(documentWith(t, 2, append(fast, "\nclient_blocks:", "\ndrains:\n  - region: cali\nclient_blocks:")...))
	eventually(t, "cali gets no new work", func() bool {
		before := in.startedIn("cali")
		in.awaitMore("/records", 100)
		return in.startedIn("cali") == before
	})
	count := in.startedIn("cali")
	in.awaitMore("/records", 400)
	if after := in.startedIn("cali"); after != count {
		t.Errorf("%d requests ran in the drained region", after-count)
	}
	checkNothingLost(t, l.end())
	if highest := in.highestRunning(); highest > slotsPerUpstream {
		t.Errorf("%d requests ran at once at an upstream with %d slots", highest, slotsPerUpstream)
	}
}

// Guards against region caps that are exceeded when the weight of another region
// moves to them.
func TestRegionCapHoldsThroughDrain(t *testing.T) {
	t.Parallel()
	in := newInstallation(t, 3, 3)
	caps := []string{"{bogota: 900, medellin: 900, cali: 900}", "{bogota: 30, medellin: 30, cali: 30}"}
	in.awaitServing(in.accept(documentWith(t, 1, caps...)).Revision)
	meter := in.meterRegions()
	l := in.startLoad(map[string]float64{"catedral-primada": 150}, nil)
	in.awaitMore("/records", 100)
	in.accept(documentWith(t, 2, append(caps, "\nclient_blocks:", "\ndrains:\n  - region: cali\nclient_blocks:")...))
	in.awaitMore("/records", 200)
	summary := l.end()
	meter.check(30)
	t.Logf("%d requests, rejections %v", summary.Requests, summary.Rejections)
}
