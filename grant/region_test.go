package grant

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pistachiomount.example/pistachiomount/clock"
)

// regionPrefix starts the names of regional owners in schedules; the next
// character is the last one of the holders of the region.
const regionPrefix = 'r'

// restartRegion replaces a regional owner. Half of its holders learn of it at
// once, the others stay with the earlier one.
func (w *simWorld) restartRegion(name string, incarnation uint64) {
	r := w.addRegion(name, incarnation)
	for _, h := range w.holders {
		if h.parent != nil && h.parent.vm == name && w.rng.IntN(2) == 0 {
			h.parent = r
		}
	}
}

// replaceEnded replaces regional owners whose lease has ended.
func (w *simWorld) replaceEnded(incarnations map[string]uint64) {
	for _, h := range w.holders {
		if h.region != nil && w.now >= h.frozen && w.newest(h.vm) == h && h.region.LeaseEnded() {
			w.restart(h.vm, incarnations)
		}
	}
}

// Guards against any schedule that lets the holders of two regions and one that
// renews at the leader use more than a cap: faults of the regional owners, of their
// holders and of the leader.
func TestCapsHoldThroughRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const steps = 900
		faults := drawFaults(t, steps)
		w := newSimWorld(rapid.Uint64().Draw(t, "seed"), OwnerConfig{Quarantine: simLife}, safetyCaps())
		loss := rapid.Float64Range(0, 0.4).Draw(t, "loss")
		if err := runSchedule(w, faults, loss, steps, "rx", "ry", "ax", "bx", "ay", "c"); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against grants that do not reach the holders of a region, and against a
// region whose reduced grant is given to another before its holders gave it back.
func TestRegionPassesGrantsOn(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	o := directedOwner(&c, 1)
	r := NewRegionalOwner(HolderConfig{VM: "r", Incarnation: 1}, OwnerConfig{Term: 1, Quarantine: directedLife}, &c)
	for _, limit := range simCaps() {
		r.AddResource(limit)
	}
	h, b, u := directedHolder(&c, "a")
	is.Equal(h.Accept(r.Renew(h.BuildRequest())), ErrNotLeader) // nothing granted yet
	renew := func() {
		is.NoErr(r.Accept(o.Renew(r.BuildRequest(), true)))
	}
	renew()
	is.NoErr(h.Accept(r.Renew(h.BuildRequest())))
	is.Equal(b.Depth(), 60.0)
	_, granted := u.InUse()
	is.Equal(granted, uint32(11))

	other, ob, _ := directedHolder(&c, "b")
	is.NoErr(exchange(other, o)) // the owner wants half of it back
	renew()                      // the region knows, its holder does not
	renew()
	is.NoErr(exchange(other, o))
	is.Equal(ob.Depth(), 0.0)
	is.NoErr(h.Accept(r.Renew(h.BuildRequest())))
	is.NoErr(h.Accept(r.Renew(h.BuildRequest())))
	renew()
	is.NoErr(exchange(other, o))
	is.True(b.Depth()+ob.Depth() <= 60)
	is.True(ob.Depth() > 20)

	c.Advance(2900 * time.Millisecond) // what is left of the region's lease
	is.NoErr(h.Accept(r.Renew(h.BuildRequest())))
	c.Advance(100 * time.Millisecond)
	is.Equal(b.Depth(), 0.0)
	is.True(r.LeaseEnded())
	c.SetWall(-time.Minute)
	is.True(r.BuildRequest() == nil)
	is.True(r.Renew(h.BuildRequest()).GetNotLeader())
}

// Guards against a lease of a holder with a slow clock that outlives the lease of
// its region.
func TestRegionOutwaitsSlowHolder(t *testing.T) {
	is := is.New(t)
	var c, slow clock.Manual
	o := directedOwner(&c, 1)
	r := NewRegionalOwner(HolderConfig{VM: "r", Incarnation: 1}, OwnerConfig{Term: 1, Quarantine: directedLife}, &c)
	r.AddResource(simCaps()[0])
	is.NoErr(r.Accept(o.Renew(r.BuildRequest(), true)))
	c.Advance(2 * time.Second)
	h, b, _ := directedHolder(&slow, "a")
	is.NoErr(h.Accept(r.Renew(h.BuildRequest())))
	is.Equal(b.Depth(), 60.0)
	slow.Advance(time.Second * 100 / 102) // while the last second passes at the region
	is.Equal(b.Depth(), 0.0)
}
