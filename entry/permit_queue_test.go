package entry

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/forward"
	"pistachiomount.example/pistachiomount/grant"
)

// newTestPermitQueue returns a queue whose VM holds the given number of slots at
// upstream u.
func newTestPermitQueue(clk clock.Clock, slots uint32) (*permitQueue, *grant.Owner) {
	g := newGrants(grant.NewHolder(grant.HolderConfig{VM: "vm", Incarnation: 1}, clk))
	owner := grant.NewOwner(grant.OwnerConfig{Term: 1, NoPredecessor: true, Lease: time.Hour}, clk)
	owner.SetCaps([]grant.Cap{{Resource: grant.SlotsID("u"), Kind: apipb.ResourceKind_RESOURCE_KIND_UNITS, Units: slots}})
	q := newPermitQueue(clk, g, func(string) float64 { return 1 }, func(string) {})
	q.setUpstreams(map[string][]string{"svc": {"u"}})
	g.slot("u").TryAcquire() // reported as demand
	_ = g.holder.Accept(owner.Renew(g.holder.BuildRequest(), true))
	q.refresh()
	return q, owner
}

// Guards against more concurrent requests than slots, and against a wake-up lost
// between the release of a permit and a request that begins to wait, which would make
// this test hang.
func TestPermitsNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.Uint32Range(1, 4).Draw(t, "slots")
		callers := rapid.IntRange(1, 12).Draw(t, "callers")
		rounds := rapid.IntRange(1, 30).Draw(t, "rounds")
		cancels := rapid.SliceOfN(rapid.Bool(), callers, callers).Draw(t, "giving up")
		q, _ := newTestPermitQueue(&clock.Manual{}, slots)
		var running, maxRunning atomic.Int64
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() {
				for range rounds {
					ctx, cancel := context.WithCancel(context.Background())
					if cancels[i] {
						go cancel()
					}
					if q.Acquire(ctx, "svc", string(rune('a'+i%3))) == nil {
						n := running.Add(1)
						for m := maxRunning.Load(); n > m && !maxRunning.CompareAndSwap(m, n); m = maxRunning.Load() {
						}
						for range 3 {
							runtime.Gosched() // let others ask while the permit is in use
						}
						running.Add(-1)
						q.Release("svc", "")
					}
					cancel()
				}
			})
		}
		wg.Wait()
		inUse, capacity := q.usage()
		if inUse != 0 || capacity != int64(slots) || maxRunning.Load() > int64(slots) {
			t.Fatalf("%d permits in use at the end, at most %d at once of %d, %d slots", inUse, maxRunning.Load(), capacity, slots)
		}
		if waiting := q.service("svc").queue.Waiting(); waiting != 0 {
			t.Fatalf("%d requests still waiting", waiting)
		}
	})
}

// Guards against a permit beyond the slots held, and against a single waiter that is
// not woken when a permit is released.
func TestWaiterGetsTheNextPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q, _ := newTestPermitQueue(&clock.Manual{}, 2)
		is.NoErr(q.Acquire(t.Context(), "svc", "c"))
		is.NoErr(q.Acquire(t.Context(), "svc", "c"))
		third := make(chan error, 1)
		go func() { third <- q.Acquire(t.Context(), "svc", "c") }()
		synctest.Wait()
		is.Equal(len(third), 0)
		q.Release("svc", "c")
		synctest.Wait()
		is.Equal(len(third), 1)
		is.NoErr(<-third)
	})
}

// Guards against permits issued after the lease of the slots has ended.
func TestPermitsEndWithTheLease(t *testing.T) {
	is := is.New(t)
	clk := &clock.Manual{}
	q, _ := newTestPermitQueue(clk, 2)
	is.NoErr(q.Acquire(t.Context(), "svc", "c"))
	clk.Suspend(2 * time.Hour)
	q.refresh()
	is.True(q.empty())
	is.True(q.spare("svc") < 0)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.Equal(q.Acquire(ctx, "svc", "c"), context.Canceled)
	q.Release("svc", "c")
	inUse, _ := q.usage()
	is.Equal(inUse, int64(0))
}

// Guards against an unbounded queue, and against a rejection with a wrong reason.
func TestFullQueueRejects(t *testing.T) {
	is := is.New(t)
	q, _ := newTestPermitQueue(&clock.Manual{}, 1)
	is.NoErr(q.Acquire(t.Context(), "svc", "c"))
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	results := make(chan error, 200)
	for range 200 {
		wg.Go(func() { results <- q.Acquire(ctx, "svc", "c") })
	}
	for range 200 - 64 {
		is.Equal(<-results, forward.ErrQueueFull)
	}
	cancel()
	wg.Wait()
	for range 64 {
		is.Equal(<-results, context.Canceled)
	}
}
