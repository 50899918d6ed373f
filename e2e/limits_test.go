package e2e_test

import (
	"math"
	"syscall"
	"testing"
	"time"

	"pistachiomount.example/pistachiomount/caller"
)

// Limits in the document of these tests. Customer belen sends far above its
// rate, so that its admitted requests show whether the limit holds.
const (
	slotsPerUpstream = 6
	belenRate        = 20
	belenBurst       = 40
)

// loadFault injects a fault into an installation under load and removes it. It returns
// once the effects can be observed from outside.
type loadFault struct {
	name          string
	injectAndHeal func(t *testing.T, in *installation)
}

var loadFaults = []loadFault{
	{"leader paused beyond its lease", pauseLeader},
	{"entry paused beyond its lease", pauseEntry},
	{"leader and entry killed", killLeaderAndEntry},
	{"leader partitioned from other control VMs", isolateLeader},
}

func pauseLeader(_ *testing.T, in *installation) {
	paused := in.awaitLeader(nil)
	paused.signal(syscall.SIGSTOP)
	in.awaitLeader(paused)
	in.awaitMoreRequests("/records", 100)
	paused.signal(syscall.SIGCONT)
	in.awaitMoreRequests("/records", 100)
}

func pauseEntry(t *testing.T, in *installation) {
	paused := in.entries[1]
	paused.signal(syscall.SIGSTOP)
	in.awaitLeaseEnd(paused)
	in.awaitMoreRequests("/records", 100)
	paused.signal(syscall.SIGCONT)
	eventually(t, "listed again", func() bool { return in.listed(paused) })
	in.awaitMoreRequests("/records", 100)
}

func killLeaderAndEntry(t *testing.T, in *installation) {
	leader, entry := in.awaitLeader(nil), in.entries[2]
	leader.kill()
	entry.kill()
	in.awaitLeader(leader)
	in.awaitLeaseEnd(entry)
	in.awaitMoreRequests("/records", 100)
}

func isolateLeader(_ *testing.T, in *installation) {
	isolated := in.awaitLeader(nil)
	for i, f := range in.controlForwarders {
		if in.controls[i] != isolated {
			f.setRule(isolated, dropAll)
			continue
		}
		for _, other := range in.controls {
			f.setRule(other, dropAll)
		}
	}
	in.awaitLeader(isolated)
	in.awaitMoreRequests("/records", 100)
	for i, f := range in.controlForwarders {
		f.closeConns()
		f.setRule(isolated, faultRule{})
		for _, other := range in.controls {
			in.controlForwarders[i].setRule(other, faultRule{})
		}
	}
	in.awaitMoreRequests("/records", 100)
}

// Guards against slots, rates or bursts that are granted twice when the owner of
// the grants or a holder is paused, killed or partitioned under load.
func TestLimitsHoldUnderFaults(t *testing.T) {
	t.Parallel()
	for _, d := range loadFaults {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			in := newInstallation(t, 3, 3, "--service-time", "30ms")
			in.awaitServing(in.submitAccepted(documentWith(t, 1)).Revision)
			loadStart := time.Now()
			l := in.startLoad(map[string]float64{"belen": 100, "catedral-primada": 250}, nil)
			in.awaitMoreRequests("/records", 200)
			d.injectAndHeal(t, in)
			summary := l.end()
			in.checkLimits(summary, time.Since(loadStart))
		})
	}
}

// checkLimits compares the results of callers and upstreams with the limits of the
// document. One full burst may be available at the start of the load.
func (in *installation) checkLimits(summary caller.Summary, elapsed time.Duration) {
	t := in.t
	t.Helper()
	if highest := in.highestRunning(); highest > slotsPerUpstream {
		t.Errorf("%d requests ran at once at an upstream with %d slots", highest, slotsPerUpstream)
	}
	admitted := summary.Customers["belen"].OK
	limit := belenBurst + int(math.Ceil(belenRate*elapsed.Seconds()))
	if admitted > limit {
		t.Errorf("%d requests of belen were admitted, at most %d in %s", admitted, limit, elapsed)
	}
	t.Logf("admitted %d of at most %d, highest concurrency %d, rejections %v, failures %v",
		admitted, limit, in.highestRunning(), summary.Rejections, summary.Failures)
}
