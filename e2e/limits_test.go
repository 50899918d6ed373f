package e2e_test

import (
	"math"
	"syscall"
	"testing"
	"time"

	"pistachiomount.example/pistachiomount/caller"
)

// Limits of the document of these tests. Customer belen sends far above its
// rate, so that its admitted requests show whether the limit holds.
const (
	slotsPerUpstream = 6
	belenRate        = 20
	belenBurst       = 40
)

// disturbance does something to a loaded installation and undoes it. It returns
// once the system has taken it in, as seen from outside.
type disturbance struct {
	name string
	do   func(t *testing.T, in *installation)
}

var disturbances = []disturbance{
	{"leader paused beyond its lease", pauseLeader},
	{"entry paused beyond its lease", pauseEntry},
	{"leader and entry killed", killLeaderAndEntry},
	{"leader cut off from other control VMs", cutLeader},
}

func pauseLeader(_ *testing.T, in *installation) {
	paused := in.awaitLeader(nil)
	paused.signal(syscall.SIGSTOP)
	in.awaitLeader(paused)
	in.awaitMore("/records", 100)
	paused.signal(syscall.SIGCONT)
	in.awaitMore("/records", 100)
}

func pauseEntry(t *testing.T, in *installation) {
	paused := in.entries[1]
	paused.signal(syscall.SIGSTOP)
	eventually(t, "lease ended", func() bool { return in.leader() != nil && !in.listed(paused) })
	in.awaitMore("/records", 100)
	paused.signal(syscall.SIGCONT)
	eventually(t, "listed again", func() bool { return in.listed(paused) })
	in.awaitMore("/records", 100)
}

func killLeaderAndEntry(t *testing.T, in *installation) {
	leader, entry := in.awaitLeader(nil), in.entries[2]
	leader.kill()
	entry.kill()
	in.awaitLeader(leader)
	eventually(t, "lease ended", func() bool { return in.leader() != nil && !in.listed(entry) })
	in.awaitMore("/records", 100)
}

func cutLeader(_ *testing.T, in *installation) {
	cut := in.awaitLeader(nil)
	for i, f := range in.links {
		if in.controls[i] != cut {
			f.set(cut, silence)
			continue
		}
		for _, other := range in.controls {
			f.set(other, silence)
		}
	}
	in.awaitLeader(cut)
	in.awaitMore("/records", 100)
	for i, f := range in.links {
		f.cut()
		f.set(cut, rule{})
		for _, other := range in.controls {
			in.links[i].set(other, rule{})
		}
	}
	in.awaitMore("/records", 100)
}

// Guards against slots, rates or bursts that are granted twice when the owner of
// the grants or a holder is paused, killed or cut off under load.
func TestLimitsHoldThroughDisturbances(t *testing.T) {
	t.Parallel()
	for _, d := range disturbances {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			in := newInstallation(t, 3, 3, "--service-time", "30ms")
			in.awaitServing(in.accept(documentWith(t, 1)).Revision)
			began := time.Now()
			l := in.startLoad(map[string]float64{"belen": 100, "catedral-primada": 250}, nil)
			in.awaitMore("/records", 200)
			d.do(t, in)
			summary := l.end()
			in.checkLimits(summary, time.Since(began))
		})
	}
}

// checkLimits compares what callers and upstreams saw with the document. A burst
// may have been saved up before the load began; it is admitted once.
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
