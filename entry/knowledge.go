package entry

import (
	"context"
	"sync"
	"time"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/continuity"
)

// maxResumeTime is how long after a pause requests wait for the first confirmation: two polls, of which the first may use
// a connection that ended meanwhile. Later ones are rejected at once.
const maxResumeTime = 2 * pollTimeout

// knowledge decides whether this process may act on what it has learned from the control daemons.
//
// A process that runs may, for as long as it is cut off too: it has what was the newest when the last call succeeded. One
// that resumes from a pause has missed changes without a failed call, and can learn of them at once. One that starts knows
// nothing, and the first control daemon that it asks may lag behind. Both may act only on a view that was recent at some
// moment since. They also wait for one renewal, which brings the lists of VMs and upstreams, but no longer than a renewal
// takes: these may be old where the leader cannot be reached.
type knowledge struct {
	monitor *continuity.Monitor
	clock   clock.Clock
	// maxAge is the age up to which the view and the lists are recent.
	maxAge time.Duration

	mu sync.Mutex
	// view and lists are when this process last learned that its view was the newest, and of changes of the lists.
	view, lists update
	// changed is closed and replaced whenever something is learned.
	changed chan struct{}
}

func newKnowledge(monitor *continuity.Monitor, c clock.Clock, maxAge time.Duration) *knowledge {
	return &knowledge{monitor: monitor, clock: c, maxAge: maxAge, changed: make(chan struct{})}
}

// recordConfirmation records that the view contains every change that was accepted before an instant.
func (k *knowledge) recordConfirmation(at clock.Instant) { k.record(&k.view, at) }

// recordRenewal records that a renewal was accepted that was sent at an instant.
func (k *knowledge) recordRenewal(sent clock.Instant) { k.record(&k.lists, sent) }

// record replaces an update by a later one. One that has become old on its way says nothing about the present.
func (k *knowledge) record(u *update, at clock.Instant) {
	run, now := k.run(), k.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	age := now.ElapsedSince(at)
	if age > k.maxAge || u.known && now.ElapsedSince(u.at) <= age {
		return
	}
	*u = update{known: true, at: at, run: run}
	close(k.changed)
	k.changed = make(chan struct{})
}

// run returns the number of the current run of the process.
func (k *knowledge) run() uint64 { return k.monitor.Current().Number }

// wantedAgeMS is the age, in milliseconds, of the confirmation that ends a poll while the view is not current. The rest of
// the age is for the way of the reply.
func (k *knowledge) wantedAgeMS() uint32 { return uint32((k.maxAge / 2).Milliseconds()) }

// viewIsCurrent reports whether this process may act on its view.
func (k *knowledge) viewIsCurrent() bool {
	run := k.monitor.Current()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view.covers(run, k.maxAge)
}

// state returns what this process may act on.
func (k *knowledge) state() knowledgeState {
	run := k.monitor.Current()
	elapsed := k.clock.Now().ElapsedSince(run.Began)
	k.mu.Lock()
	defer k.mu.Unlock()
	s := knowledgeState{
		run: run.Number, view: k.view.covers(run, k.maxAge), lists: k.lists.covers(run, k.maxAge) || elapsed >= renewTimeout,
		wait: maxResumeTime - elapsed, changed: k.changed,
	}
	if !s.lists {
		s.wait = renewTimeout - elapsed
	}
	return s
}

// await waits until this process may act on its view and its lists, but not longer than the given time, nor than
// maxResumeTime after a pause. It returns the run in which it may.
func (k *knowledge) await(ctx context.Context, until time.Time) (run uint64, ok bool) {
	return k.awaitState(ctx, until, knowledgeState.all)
}

// awaitView does the same for the view alone.
func (k *knowledge) awaitView(ctx context.Context, until time.Time) {
	k.awaitState(ctx, until, func(s knowledgeState) bool { return s.view })
}

// awaitLists does the same for the lists alone, which takes no longer than a renewal. A process that starts has no old ones.
func (k *knowledge) awaitLists(ctx context.Context) {
	k.awaitState(ctx, time.Now().Add(renewTimeout), func(s knowledgeState) bool { return s.lists || s.run == 0 })
}

func (k *knowledge) awaitState(ctx context.Context, until time.Time, enough func(knowledgeState) bool) (run uint64, ok bool) {
	for {
		s := k.state()
		wait := min(s.wait, time.Until(until))
		if enough(s) {
			return s.run, true
		}
		if wait <= 0 || ctx.Err() != nil {
			return s.run, false
		}
		timer := time.NewTimer(wait)
		select {
		case <-s.changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}
