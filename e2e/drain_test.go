package e2e_test

import (
	"net/http"
	"strings"
	"testing"

	"pistachiomount.example/pistachiomount/standin"
)

// startedByUpstream returns how many requests an upstream has started.
func (in *installation) startedByUpstream(upstream string) int {
	return in.records()[upstream].Totals.Started
}

// awaitNoNewRequests waits until an upstream starts no request while others start
// many, and returns how many it has started.
func (in *installation) awaitNoNewRequests(upstream string) int {
	in.t.Helper()
	count := -1
	eventually(in.t, upstream+" gets no new requests", func() bool {
		before := in.startedByUpstream(upstream)
		in.awaitMoreRequests("/records", 100)
		count = in.startedByUpstream(upstream)
		return count == before
	})
	return count
}

// Guards against new requests for an upstream that is leaving according to the
// platform's list or its own responses, also when reads of the list fail afterwards.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	signals := []struct {
		name string
		send func(in *installation, upstream string)
	}{
		{"platform list", func(in *installation, upstream string) {
			exchangeJSON(in.t, http.MethodPatch, in.platform.address("http")+"/v1/upstreams/"+upstream, map[string]string{"state": "leaving"}, nil)
		}},
		{"header", func(in *installation, upstream string) { in.setUpstreamMode(upstream, standin.ModeDraining) }},
		{"status 503", func(in *installation, upstream string) { in.setUpstreamMode(upstream, standin.ModeDraining503) }},
	}
	for _, s := range signals {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			in := newInstallation(t, 1, 2)
			in.awaitServing(in.submitAccepted(documentWith(t, 1)).Revision)
			l := in.startLoad(steady, nil)
			upstream := "records-bogota-bogota-1-1"
			eventually(t, "in use", func() bool { return in.startedByUpstream(upstream) > 0 })
			s.send(in, upstream)
			count := in.awaitNoNewRequests(upstream)
			exchangeJSON(t, http.MethodPut, in.platform.address("http")+"/standin", map[string]any{"failing": true}, nil)
			in.awaitMoreRequests("/records", 800)
			if after := in.startedByUpstream(upstream); after != count {
				t.Errorf("%d requests started after the signal had taken effect", after-count)
			}
			summary := l.end()
			t.Logf("%d requests, rejections %v, failures %v", summary.Requests, summary.Rejections, summary.Failures)
			if len(summary.Failures) > 0 {
				t.Errorf("failures %v", summary.Failures)
			}
		})
	}
}

// setUpstreamMode sets the mode of one upstream.
func (in *installation) setUpstreamMode(upstream string, mode standin.Mode) {
	in.t.Helper()
	for _, p := range in.upstreams {
		if strings.HasPrefix(upstream, strings.TrimPrefix(p.name, "upstreams-")) {
			exchangeJSON(in.t, http.MethodPut, p.address("control")+"/upstreams/"+upstream+"/standin", standin.Behaviour{Mode: mode}, nil)
		}
	}
}

// startedInRegion returns how many requests the upstreams of a region have started.
func (in *installation) startedInRegion(region string) int {
	total := 0
	for id, r := range in.records() {
		if strings.Contains(id, "-"+region+"-") {
			total += r.Totals.Started
		}
	}
	return total
}

// Guards against a drained region that keeps getting requests, against a shift
// that overloads the others, and against requests that fail during the drain.
func TestRegionDrainedByDocument(t *testing.T) {
	t.Parallel()
	in := newInstallation(t, 3, 3)
	fast := []string{"points_per_second: 5", "points_per_second: 20"}
	in.awaitServing(in.submitAccepted(documentWith(t, 1, fast...)).Revision)
	in.spreadGrants()
	l := in.startLoad(steady, nil)
	in.awaitMoreRequests("/records", 100)
	in.submitAccepted(documentWith(t, 2, append(fast, "\nclient_blocks:", "\ndrains:\n  - region: cali\nclient_blocks:")...))
	eventually(t, "cali gets no new requests", func() bool {
		before := in.startedInRegion("cali")
		in.awaitMoreRequests("/records", 100)
		return in.startedInRegion("cali") == before
	})
	count := in.startedInRegion("cali")
	in.awaitMoreRequests("/records", 400)
	if after := in.startedInRegion("cali"); after != count {
		t.Errorf("%d requests ran in the drained region", after-count)
	}
	checkAllSucceeded(t, l.end())
	if highest := in.highestRunning(); highest > slotsPerUpstream {
		t.Errorf("%d requests ran at once at an upstream with %d slots", highest, slotsPerUpstream)
	}
}

// Guards against regions that exceed their caps when the weight of a drained
// region moves to them.
func TestRegionCapHoldsThroughDrain(t *testing.T) {
	t.Parallel()
	in := newInstallation(t, 3, 3)
	caps := []string{"{bogota: 900, medellin: 900, cali: 900}", "{bogota: 30, medellin: 30, cali: 30}"}
	in.awaitServing(in.submitAccepted(documentWith(t, 1, caps...)).Revision)
	meter := in.meterRegions()
	l := in.startLoad(map[string]float64{"catedral-primada": 150}, nil)
	in.awaitMoreRequests("/records", 100)
	in.submitAccepted(documentWith(t, 2, append(caps, "\nclient_blocks:", "\ndrains:\n  - region: cali\nclient_blocks:")...))
	in.awaitMoreRequests("/records", 200)
	summary := l.end()
	meter.check(30)
	t.Logf("%d requests, rejections %v", summary.Requests, summary.Rejections)
}
