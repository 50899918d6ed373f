package control

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

// Guards against a partitioned daemon that keeps confirming its state: an entry daemon
// would accept a revoked key for as long as the partition lasts.
func TestIsolatedDaemonStopsConfirming(t *testing.T) {
	simulate(t, 3, func(b *simCluster) {
		is := is.New(b.t)
		b.nodes[0].mustSubmit("trial", documentOf(1, 0))
		leader := b.leader()
		for _, isolated := range []*simNode{b.others(leader)[0], leader} {
			w := &watcher{node: isolated}
			b.eventually("a confirmed view", func() bool { return w.poll() == nil && w.confirmed && w.revision > 0 })
			b.net.setIsolated(isolated.name, true)
			since := time.Now()
			for time.Since(since) < 10*time.Second {
				is.NoErr(w.poll())
				is.True(w.age >= time.Since(since)-time.Second-confirmInterval)
			}
			is.True(w.age > 9*time.Second)
			b.net.setIsolated(isolated.name, false)
			b.eventually("confirmed again", func() bool { return w.poll() == nil && w.age < time.Second })
		}
	})
}

// Guards against an age that is rounded down: the view would count as complete up to an
// instant that no majority has confirmed.
func TestConfirmedAgeIsNotRoundedDown(t *testing.T) {
	for _, age := range []time.Duration{0, 1, time.Millisecond - 1, time.Millisecond, 1500 * time.Microsecond} {
		reply, err := (&Engine{}).replyTo(&apipb.WatchRequest{}, &watchState{age: age, confirmed: true}, clock.Instant{})
		if err != nil {
			t.Fatal(err)
		}
		if told := time.Duration(reply.ConfirmedAgeMs) * time.Millisecond; told < age || told >= age+time.Millisecond {
			t.Errorf("age %v is reported as %v", age, told)
		}
	}
}

// Guards against a view that counts as old because its poll waited: at a daemon that confirms its state
// all the time, an entry daemon's view stays younger than one wait and one confirmation.
func TestViewStaysFreshWithoutChanges(t *testing.T) {
	simulate(t, 3, func(b *simCluster) {
		is := is.New(b.t)
		w := &watcher{node: b.leader()}
		b.eventually("a confirmed view", func() bool { return w.poll() == nil && w.confirmed })
		for range 10 {
			is.NoErr(w.poll())
			is.True(time.Since(w.confirmedAt) < confirmInterval+300*time.Millisecond) // the wait of the poll, 1 s, is not in it
		}
	})
}

// Guards against the wait of a poll counted with a wall clock that was set forward: the view would
// count as complete up to an instant that no majority has confirmed.
func TestWaitOfAPollIsNotOverestimated(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	arrived := c.Now()
	c.Advance(300 * time.Millisecond)
	c.AdjustWall(time.Minute)
	is.Equal(heldMS(arrived, c.Now()), uint32(300))
	c.AdjustWall(-time.Hour)
	c.Suspend(time.Second)
	is.Equal(heldMS(arrived, c.Now()), uint32(300))
}

// ackedRevisions records the revisions that were acknowledged to operators.
type ackedRevisions struct {
	mu        sync.Mutex
	times     []time.Time
	revisions []uint64
}

func (a *ackedRevisions) add(revision uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times, a.revisions = append(a.times, time.Now()), append(a.revisions, revision)
}

// missing returns a revision above the one seen that was acknowledged before the
// instant, or 0.
func (a *ackedRevisions) missing(upTo time.Time, seen uint64) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, at := range a.times {
		if at.Before(upTo) && a.revisions[i] > seen {
			return a.revisions[i]
		}
	}
	return 0
}

// faultStep is one step of a random fault schedule.
type faultStep struct {
	kind, node int
	pause      time.Duration
}

const faultKinds = 8

func (s faultStep) apply(b *simCluster) {
	n := b.nodes[s.node]
	switch s.kind {
	case 0:
		b.net.setIsolated(n.name, true)
	case 1:
		b.net.setCut(n.name, b.nodes[(s.node+1)%len(b.nodes)].name, true)
	case 2, 3:
		for _, other := range b.nodes {
			b.net.setIsolated(other.name, false)
		}
	case 4:
		n.restart()
	case 5:
		n.pause(2 * s.pause)
	case 6:
		b.net.setLoss(0.2, 0.3)
	case 7:
		b.net.setLoss(0, 0)
	}
	time.Sleep(s.pause)
}

// Guards against revisions that go back and against confirmed views that lack an
// acknowledged revision, under random partitions, pauses, restarts, message loss and
// duplication.
func TestWatchersSeeEveryAcknowledgedRevision(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64Range(1, 1<<40).Draw(rt, "seed")
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) faultStep {
			return faultStep{
				kind: rapid.IntRange(0, faultKinds-1).Draw(rt, "kind"), node: rapid.IntRange(0, 2).Draw(rt, "node"),
				pause: time.Duration(rapid.IntRange(50, 2500).Draw(rt, "ms")) * time.Millisecond,
			}
		}), 4, 16).Draw(rt, "steps")
		var err error
		synctest.Test(t, func(t *testing.T) { err = watchUnderFaults(t, seed, steps) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

func watchUnderFaults(t *testing.T, seed uint64, steps []faultStep) (first error) {
	simulateWith(t, seed, 3, func(b *simCluster) {
		acked, failed := &ackedRevisions{}, make(chan error, 64)
		var wg sync.WaitGroup
		stop := make(chan struct{})
		for i := range 3 {
			wg.Go(func() { pollRandomDaemons(b, acked, failed, stop, rand.New(rand.NewPCG(seed, uint64(i)))) })
		}
		wg.Go(func() { submitRandomly(b, acked, stop, rand.New(rand.NewPCG(seed, 99))) })
		for _, step := range steps {
			step.apply(b)
		}
		close(stop)
		wg.Wait()
		select {
		case first = <-failed:
		default:
		}
	})
	return first
}

// pollRandomDaemons polls random daemons, sometimes as a watcher that just started.
func pollRandomDaemons(b *simCluster, acked *ackedRevisions, failed chan<- error, stop <-chan struct{}, rng *rand.Rand) {
	var w *watcher
	for !closed(stop) {
		if w == nil || rng.IntN(10) == 0 {
			w = &watcher{onReply: func(reply *apipb.WatchReply, upTo time.Time) {
				if lost := acked.missing(upTo, reply.Revision); lost != 0 {
					select {
					case failed <- errors.Errorf("revision %d, confirmed up to %v, lacks %d", reply.Revision, upTo, lost):
					default:
					}
				}
			}}
		}
		w.node = b.nodes[rng.IntN(len(b.nodes))]
		if w.poll() != nil {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// submitRandomly submits the next document at random daemons.
func submitRandomly(b *simCluster, acked *ackedRevisions, stop <-chan struct{}, rng *rand.Rand) {
	for number := uint64(1); !closed(stop); {
		result := b.nodes[rng.IntN(len(b.nodes))].propose(number, 0)
		if result.GetStatus() == apipb.SubmitStatus_SUBMIT_STATUS_ACCEPTED {
			acked.add(result.Revision)
			number++
		}
		time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
	}
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Guards against a restart after a long time that transfers one document for each
// missed change.
func TestRestartAfterManyChangesCostsOneDocument(t *testing.T) {
	simulate(t, 1, func(b *simCluster) {
		is := is.New(b.t)
		n := b.nodes[0]
		n.mustSubmit("trial", documentOf(1, 0))
		behind := &watcher{node: n}
		b.eventually("the first document", func() bool { return behind.poll() == nil && behind.revision > 0 })
		for number := uint64(2); number <= 200; number++ {
			n.propose(number, int(number))
		}
		behind.bytes.Store(0)
		is.NoErr(behind.poll())
		is.True(behind.bytes.Load() < 512) // a delta over 200 changes is as large as one over one change
		for number := uint64(201); number <= 501; number++ {
			n.propose(number, int(number))
		}
		for _, w := range []*watcher{{node: n}, behind} {
			w.bytes.Store(0)
			w.replies.Store(0)
			is.NoErr(w.poll())
			is.Equal(string(w.raw), string(documentOf(501, 501)))
			is.Equal(w.replies.Load(), int64(1))
			is.True(w.bytes.Load() < int64(len(exampleDocument)+512)) // one snapshot
		}
	})
}
