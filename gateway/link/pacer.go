package link

import (
	"context"
	"sync"
	"time"
)

// Pacer makes the senders of long responses wait for their turns. Its methods may be called on a nil Pacer,
// which delays nothing.
type Pacer struct {
	mu        sync.Mutex
	scheduler *Scheduler
	turns     map[*Transfer]chan struct{}
	timer     *time.Timer
	stopped   bool
	stats     Stats
}

// NewPacer returns a pacer that follows the scheduler; nil without one.
func NewPacer(s *Scheduler) *Pacer {
	if s == nil {
		return nil
	}
	p := &Pacer{scheduler: s, turns: map[*Transfer]chan struct{}{}}
	p.timer = time.AfterFunc(time.Hour, p.giveTurns)
	p.timer.Stop()
	return p
}

// Count counts n bytes that are sent without a turn.
func (p *Pacer) Count(n int) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.Count(time.Now(), n)
}

// Begin returns a new transfer, which must be ended.
func (p *Pacer) Begin() *Transfer {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Active++
	return p.scheduler.Begin()
}

// End ends a transfer, which no longer waits.
func (p *Pacer) End() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Active--
}

// Await waits until a chunk of n bytes may be sent, or until the context ends or the pacer stops.
func (p *Pacer) Await(ctx context.Context, t *Transfer, n int) error {
	began := time.Now()
	p.mu.Lock()
	if p.stopped {
		p.scheduler.Count(began, n)
		p.mu.Unlock()
		return ctx.Err()
	}
	turn := make(chan struct{})
	p.turns[t] = turn
	p.scheduler.Await(t, n)
	p.giveTurnsLocked()
	p.mu.Unlock()
	select {
	case <-turn:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.Withdraw(t)
	delete(p.turns, t)
	p.stats.Waited += time.Since(began)
	if err := ctx.Err(); err != nil {
		return err
	}
	p.stats.Chunks++
	return nil
}

// Stop ends all waits, now and later.
func (p *Pacer) Stop() {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.timer.Stop()
	for t, turn := range p.turns {
		p.scheduler.Withdraw(t)
		p.scheduler.Count(time.Now(), t.size)
		delete(p.turns, t)
		close(turn)
	}
}

// Backlog returns how long the link takes to send what was written.
func (p *Pacer) Backlog() time.Duration {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Backlog(time.Now())
}

// Stats returns the current counts.
func (p *Pacer) Stats() Stats {
	if p == nil {
		return Stats{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

func (p *Pacer) giveTurns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.giveTurnsLocked()
}

// giveTurnsLocked gives the turns that are due and sets the timer for the next one.
func (p *Pacer) giveTurnsLocked() {
	for !p.stopped {
		now := time.Now()
		t, due := p.scheduler.Next(now)
		if t == nil {
			if !due.IsZero() {
				p.timer.Reset(due.Sub(now))
			}
			return
		}
		close(p.turns[t])
		delete(p.turns, t)
	}
}
