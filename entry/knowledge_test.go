package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/continuity"
)

// knowledgeFixture is the knowledge of a process that learned everything a moment ago.
type knowledgeFixture struct {
	*knowledge
	clock *clock.Manual
}

func newKnowledgeFixture() *knowledgeFixture {
	c := &clock.Manual{}
	f := &knowledgeFixture{newKnowledge(continuity.New(c, nil), c, 2*time.Second), c}
	f.learn()
	return f
}

func (f *knowledgeFixture) learn() {
	f.recordConfirmation(f.clock.Now())
	f.recordRenewal(f.clock.Now())
}

// mayAct reports whether the process may act on what it knows.
func (f *knowledgeFixture) mayAct() bool {
	return f.state().all()
}

// Guards against a process that resumes and acts on a view from before the pause, also after a reply that was sent before.
func TestProcessThatWasPausedAwaitsAConfirmation(t *testing.T) {
	for name, pause := range map[string]func(*clock.Manual, time.Duration){
		"stopped": (*clock.Manual).Advance, "suspended": (*clock.Manual).Suspend,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newKnowledgeFixture()
			is.True(f.mayAct())
			before := f.clock.Now()
			pause(f.clock, 7*time.Second)
			is.True(!f.mayAct())
			f.recordConfirmation(before)
			f.recordRenewal(before)
			is.True(!f.mayAct())
			f.recordRenewal(f.clock.Now())
			is.True(!f.mayAct())
			f.recordConfirmation(f.clock.Now().Add(-time.Second)) // as old as control daemons confirm
			is.True(f.mayAct())
			pause(f.clock, 7*time.Second)
			is.True(!f.mayAct())
		})
	}
}

// Guards against a process that is cut off but runs, and refuses what it may serve.
func TestProcessThatIsCutOffGoesOn(t *testing.T) {
	is := is.New(t)
	f := newKnowledgeFixture()
	run := func() {
		for range 600 {
			f.clock.Advance(100 * time.Millisecond)
			is.True(f.mayAct())
		}
	}
	run()
	f.clock.Advance(7 * time.Second)
	is.True(!f.mayAct())
	f.learn()
	run()
	f.clock.AdjustWall(-time.Hour)
	run()
}

// Guards against a pause that costs requests although the view is still recent, or the leader cannot be reached.
func TestPauseWaitsForNoMoreThanIsNeeded(t *testing.T) {
	is := is.New(t)
	f := newKnowledgeFixture()
	f.clock.Advance(continuity.MinPause + time.Second/2)
	is.True(f.mayAct())
	f.clock.Advance(7 * time.Second)
	f.recordConfirmation(f.clock.Now())
	is.True(!f.mayAct()) // the lists are old, and a renewal would bring new ones
	f.clock.Advance(renewTimeout)
	is.True(f.mayAct())
}

// Guards against requests that wait longer than until the view is confirmed, for a process that stays cut off, or
// after their caller has left.
func TestAwaitEndsAsSoonAsItCan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k := newKnowledge(continuity.New(processClock{}, nil), processClock{}, 2*time.Second)
		pause := func() time.Time {
			time.Sleep(7 * time.Second)
			k.run()
			return time.Now()
		}
		far := func() time.Time { return time.Now().Add(time.Hour) }
		resumed := pause()
		go func() {
			time.Sleep(100 * time.Millisecond)
			k.recordConfirmation(processClock{}.Now())
			k.recordRenewal(processClock{}.Now())
		}()
		run, ok := k.await(t.Context(), far())
		is.True(ok)
		is.Equal(run, uint64(1))
		is.Equal(time.Since(resumed), 100*time.Millisecond)

		resumed = pause()
		_, ok = k.await(t.Context(), time.Now().Add(200*time.Millisecond))
		is.True(!ok)
		is.Equal(time.Since(resumed), 200*time.Millisecond)

		alive := make(chan struct{})
		go func() { // the process runs
			for {
				select {
				case <-alive:
					return
				case <-time.After(100 * time.Millisecond):
					k.run()
				}
			}
		}()
		_, ok = k.await(t.Context(), far())
		is.True(!ok)
		is.Equal(time.Since(resumed), maxResumeTime)
		_, ok = k.await(t.Context(), far())
		is.True(!ok)
		is.Equal(time.Since(resumed), maxResumeTime) // at once
		close(alive)
	})
}
