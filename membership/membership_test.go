package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/membership"
)

const (
	starting = apipb.VmState_VM_STATE_STARTING
	serving  = apipb.VmState_VM_STATE_SERVING
	leaving  = apipb.VmState_VM_STATE_LEAVING
	stopped  = apipb.VmState_VM_STATE_STOPPED
)

func vm(name string, incarnation uint64, state apipb.VmState) *apipb.Vm {
	return &apipb.Vm{Name: name, Incarnation: incarnation, State: state}
}

func states(f *membership.Fleet) map[string]apipb.VmState {
	out := make(map[string]apipb.VmState)
	list, _ := f.List()
	for _, v := range list {
		out[v.GetName()] = v.GetState()
	}
	return out
}

// Guards against requests lost in a planned stop: callers with an older lookup
// response must still be served.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	var clk clock.Manual
	l := membership.NewLifecycle(&clk)
	is.True(!l.Accepts())
	is.NoErr(l.Serve())
	is.True(l.Accepts())
	is.True(errors.Is(l.Stop(), membership.ErrTransition))
	is.NoErr(l.Leave())
	clk.Advance(membership.LookupTTL - 1)
	is.True(l.Accepts())
	is.True(!l.Drained(0))
	is.NoErr(l.Leave()) // a second signal does not extend the wait
	clk.Advance(1)
	is.True(!l.Accepts())
	is.True(!l.Drained(1))
	is.True(l.Drained(0))
	is.NoErr(l.Stop())
	is.Equal(l.State(), stopped)
	is.True(errors.Is(l.Serve(), membership.ErrTransition))
}

// Guards against two incarnations of a VM in the list and against a delayed
// heartbeat from the earlier one.
func TestIncarnations(t *testing.T) {
	is := is.New(t)
	var clk clock.Manual
	f := membership.NewFleet(1, &clk)
	is.NoErr(f.Heartbeat(vm("a", 5, leaving)))
	is.NoErr(f.Heartbeat(vm("a", 5, serving)))
	is.Equal(states(f)["a"], leaving) // a heartbeat out of order does not restore an earlier state
	is.NoErr(f.Heartbeat(vm("a", 6, serving)))
	is.True(errors.Is(f.Heartbeat(vm("a", 5, serving)), membership.ErrStaleIncarnation))
	is.NoErr(f.Heartbeat(vm("a", 6, stopped)))
	is.Equal(len(states(f)), 0)
	clk.Advance(time.Minute)
	f.Expire()
	is.True(errors.Is(f.Heartbeat(vm("a", 5, serving)), membership.ErrStaleIncarnation))
	is.NoErr(f.Heartbeat(vm("a", 7, starting)))
	is.Equal(states(f)["a"], starting)
	is.True(errors.Is(f.Heartbeat(vm("", 1, serving)), membership.ErrInvalidVM))
	is.True(errors.Is(f.Heartbeat(vm("b", 1, 0)), membership.ErrInvalidVM))
}

// Guards against an outdated platform list that removes a working VM.
func TestPlatformListOnlyMarksVMsLeaving(t *testing.T) {
	is := is.New(t)
	var clk clock.Manual
	f := membership.NewFleet(1, &clk)
	is.NoErr(f.Heartbeat(vm("a", 1, serving)))
	is.NoErr(f.Heartbeat(vm("b", 1, serving)))
	before := f.Version()
	f.SetPlatformList([]membership.PlatformVM{{Name: "b", Leaving: true}, {Name: "c"}})
	is.Equal(states(f), map[string]apipb.VmState{"a": serving, "b": leaving})
	is.True(f.Version() > before)
	is.NoErr(f.Heartbeat(vm("b", 2, serving)))
	is.Equal(states(f)["b"], leaving)
	f.SetPlatformList(nil)
	is.Equal(states(f)["b"], serving)
}

// Guards against VMs that stay listed after their lease or are removed before its
// end, and against changes without a new version, over random histories.
func TestLeaseExpiry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var clk clock.Manual
		f := membership.NewFleet(3, &clk)
		last := make(map[string]time.Duration)
		now := time.Duration(0)
		before, version := states(f), f.Version()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "vm"))
			if err := f.Heartbeat(vm(name, 1, serving)); err != nil {
				t.Fatal(err)
			}
			last[name] = now
			d := time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			clk.Advance(d)
			now += d
			f.Expire()
			after := states(f)
			for name, at := range last {
				if _, listed := after[name]; listed != (now-at < membership.LeaseDuration+membership.LeaseMargin) {
					t.Fatalf("%s: listed %v, %v after its heartbeat", name, listed, now-at)
				}
			}
			if fmt.Sprint(before) != fmt.Sprint(after) && f.Version() <= version {
				t.Fatal("change without a new version")
			}
			before, version = after, f.Version()
		}
	})
}

// Guards against a new leader whose empty list replaces a valid one, and against
// a new version for every heartbeat.
func TestNewLeaderAndVersions(t *testing.T) {
	is := is.New(t)
	var clk clock.Manual
	old, f := membership.NewFleet(1, &clk), membership.NewFleet(2, &clk)
	for i := range 100 {
		is.NoErr(old.Heartbeat(vm(fmt.Sprint(i), 1, serving)))
	}
	is.True(f.Version() > old.Version())
	is.True(!f.Complete())
	clk.Advance(membership.LeaseDuration + membership.LeaseMargin)
	is.True(f.Complete())
	version := old.Version()
	is.NoErr(old.Heartbeat(vm("7", 1, serving)))
	is.Equal(old.Version(), version)
	loaded := vm("7", 1, serving)
	loaded.Load = 0.5
	is.NoErr(old.Heartbeat(loaded))
	is.Equal(old.Version(), version+1)
}

func BenchmarkHeartbeat(b *testing.B) {
	f := membership.NewFleet(1, clock.NewSystem())
	v := vm("a", 1, serving)
	b.ReportAllocs()
	for range b.N {
		_ = f.Heartbeat(v)
	}
}

// Guards against an outdated revision in the operators' view of a VM: a new
// revision does not change the version of the list.
func TestHeartbeatsReturnsNewest(t *testing.T) {
	is := is.New(t)
	var clk clock.Manual
	f := membership.NewFleet(1, &clk)
	for revision := range uint64(3) {
		v := vm("a", 1, serving)
		v.RevisionInForce = revision
		is.NoErr(f.Heartbeat(v))
		_, _ = f.List()
		is.Equal(len(f.Heartbeats()), 1)
		is.Equal(f.Heartbeats()[0].GetRevisionInForce(), revision)
	}
	clk.Advance(membership.LeaseDuration + membership.LeaseMargin)
	f.Expire()
	is.Equal(len(f.Heartbeats()), 0)
}

// Guards against a difference between a list updated from Changes and the full list.
func TestChangesMatchFullList(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var clk clock.Manual
		f := membership.NewFleet(3, &clk)
		known, have := map[string]apipb.VmState{}, uint64(0)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			clk.Advance(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "ms")) * time.Millisecond)
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "vm")
			state := rapid.SampledFrom([]apipb.VmState{starting, serving, leaving, stopped}).Draw(rt, "state")
			_ = f.Heartbeat(vm(name, rapid.Uint64Range(1, 3).Draw(rt, "incarnation"), state)) // stale incarnations are rejected
			f.Expire()
			if rapid.Bool().Draw(rt, "far") {
				clk.Advance(25 * time.Hour) // incarnations of removed VMs are dropped
				f.Expire()
			}
			if rapid.Bool().Draw(rt, "fetch") {
				have = applyChanges(f, known, have)
			}
		}
		applyChanges(f, known, have)
		if got, want := fmt.Sprint(known), fmt.Sprint(states(f)); got != want {
			rt.Fatalf("list updated from changes: %s; full list: %s", got, want)
		}
	})
}

// applyChanges updates the known states as an entry daemon does.
func applyChanges(f *membership.Fleet, known map[string]apipb.VmState, have uint64) uint64 {
	changes, version, ok := f.Changes(have)
	if !ok {
		clear(known)
		changes, version = f.List()
	}
	for _, v := range changes {
		known[v.GetName()] = v.GetState()
		if v.GetState() == stopped {
			delete(known, v.GetName())
		}
	}
	return version
}
