package grant

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pistachiomount.example/pistachiomount/clock"
)

// regionPrefix begins the names of regional owners in schedules. The next character is the one
// that the names of the holders in the region end with.
const regionPrefix = 'r'

// restartRegionalOwner replaces a regional owner. About half of its holders switch to the new one
// at once, the others keep renewing at the earlier one.
func (w *simWorld) restartRegionalOwner(name string, incarnation uint64) {
	r := w.addRegionalOwner(name, incarnation)
	for _, h := range w.holders {
		if h.parent != nil && h.parent.vm == name && w.rng.IntN(2) == 0 {
			h.parent = r
		}
	}
}

// replaceExpiredRegions replaces regional owners whose lease has ended.
func (w *simWorld) replaceExpiredRegions(incarnations map[string]uint64) {
	for _, h := range w.holders {
		if h.region != nil && w.now >= h.frozen && w.newestProcess(h.vm) == h && h.region.LeaseEnded() {
			w.restart(h.vm, incarnations)
		}
	}
}

// Guards against any schedule of faults at the leader, at regional owners and at holders that lets
// the holders of two regions, and one that renews at the leader, use more than a cap.
func TestCapsHoldWithRegionalOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const steps = 900
		faults := drawFaults(t, steps)
		w := newSimWorld(rapid.Uint64().Draw(t, "seed"), OwnerConfig{Quarantine: simDeadline}, safetyCaps())
		loss := rapid.Float64Range(0, 0.4).Draw(t, "loss")
		if err := runSchedule(w, faults, loss, steps, "rx", "ry", "ax", "bx", "ay", "c"); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against grants that do not reach the holders of a region, and against an owner that
// grants what it took from a region to others before the region's holders acknowledged it.
func TestRegionalOwnerPassesGrantsOn(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	o := newTestOwner(&c, 1)
	r := NewRegionalOwner(HolderConfig{VM: "r", Incarnation: 1}, OwnerConfig{Term: 1, Quarantine: testQuarantine}, &c)
	for _, limit := range simCaps() {
		r.AddResource(limit)
	}
	h, b, u := newTestHolder(&c, "a")
	is.Equal(h.Accept(r.Renew(h.BuildRequest())), ErrNotLeader) // nothing granted yet
	renew := func() {
		is.NoErr(r.Accept(o.Renew(r.BuildRequest(), true)))
	}
	renew()
	is.NoErr(h.Accept(r.Renew(h.BuildRequest())))
	is.Equal(b.Depth(), 60.0)
	_, granted := u.InUse()
	is.Equal(granted, uint32(11))

	other, ob, _ := newTestHolder(&c, "b")
	is.NoErr(exchange(other, o)) // the owner reduces the grant of the region by half
	renew()                      // the regional owner learns of it, its holder does not
	renew()
	is.NoErr(exchange(other, o))
	is.Equal(ob.Depth(), 0.0)
	is.NoErr(h.Accept(r.Renew(h.BuildRequest())))
	is.NoErr(h.Accept(r.Renew(h.BuildRequest())))
	renew()
	is.NoErr(exchange(other, o))
	is.True(b.Depth()+ob.Depth() <= 60)
	is.True(ob.Depth() > 20)

	c.Advance(2900 * time.Millisecond) // almost the rest of the region's lease
	is.NoErr(h.Accept(r.Renew(h.BuildRequest())))
	c.Advance(100 * time.Millisecond)
	is.Equal(b.Depth(), 0.0)
	is.True(r.LeaseEnded())
	c.AdjustWall(-time.Minute)
	is.True(r.BuildRequest() == nil)
	is.True(r.Renew(h.BuildRequest()).GetNotLeader())
}

// Guards against a holder with a slow clock whose lease ends after that of its region.
func TestRegionalLeaseOutlastsHolderWithSlowClock(t *testing.T) {
	is := is.New(t)
	var c, slow clock.Manual
	o := newTestOwner(&c, 1)
	r := NewRegionalOwner(HolderConfig{VM: "r", Incarnation: 1}, OwnerConfig{Term: 1, Quarantine: testQuarantine}, &c)
	r.AddResource(simCaps()[0])
	is.NoErr(r.Accept(o.Renew(r.BuildRequest(), true)))
	c.Advance(2 * time.Second)
	h, b, _ := newTestHolder(&slow, "a")
	is.NoErr(h.Accept(r.Renew(h.BuildRequest())))
	is.Equal(b.Depth(), 60.0)
	slow.Advance(time.Second * 100 / 102) // as the last second of the lease passes at the region
	is.Equal(b.Depth(), 0.0)
}
