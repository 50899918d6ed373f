package control

import (
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/consensus"
)

// confirmation tracks up to which instant the applied state is known to be complete:
// it holds everything that was committed before confirmedAt.
type confirmation struct {
	nextID         uint64
	sentReads      map[uint64]clock.Instant // reads without an answer, by id
	unappliedReads []unappliedRead          // answered reads whose index is not yet applied
	waiters        map[uint64]chan uint64   // receive the index of a read once it is applied, by id
	confirmed      bool
	confirmedAt    clock.Instant
	lastRead       clock.Instant
	lastPoll       clock.Instant
	polled         bool
}

type unappliedRead struct {
	id, index uint64
	sent      clock.Instant
}

func (c *confirmation) init() {
	c.sentReads = map[uint64]clock.Instant{}
	c.waiters = map[uint64]chan uint64{}
}

// startRead registers a read that starts now and returns its id. It drops reads that
// exceeded readTimeout.
func (c *confirmation) startRead(now clock.Instant) uint64 {
	c.nextID++
	c.sentReads[c.nextID] = now
	for id, at := range c.sentReads {
		if now.ElapsedSince(at) > readTimeout {
			delete(c.sentReads, id)
		}
	}
	return c.nextID
}

func (c *confirmation) due(now clock.Instant) bool {
	return c.polled && now.ElapsedSince(c.lastPoll) < confirmAfterPoll && now.ElapsedSince(c.lastRead) >= confirmInterval
}

func (c *confirmation) recordPoll(now clock.Instant) {
	c.polled, c.lastPoll = true, now
}

// completeReads records answered reads and advances confirmedAt to the start of those
// whose index is applied.
func (c *confirmation) completeReads(reads []consensus.ReadState, applied uint64) {
	for _, read := range reads {
		if sent, ok := c.sentReads[read.RequestID]; ok {
			c.unappliedReads = append(c.unappliedReads, unappliedRead{read.RequestID, read.Index, sent})
			delete(c.sentReads, read.RequestID)
		}
	}
	remaining := c.unappliedReads[:0]
	for _, read := range c.unappliedReads {
		if read.index > applied {
			remaining = append(remaining, read)
			continue
		}
		c.confirmUpTo(read.sent)
		if waiter := c.waiters[read.id]; waiter != nil {
			waiter <- read.index
			delete(c.waiters, read.id)
		}
	}
	c.unappliedReads = remaining
}

func (c *confirmation) confirmUpTo(sent clock.Instant) {
	if !c.confirmed || sent.Mono > c.confirmedAt.Mono {
		c.confirmed, c.confirmedAt = true, sent
	}
}

// age returns the time since confirmedAt, and false before the first confirmation.
func (c *confirmation) age(now clock.Instant) (time.Duration, bool) {
	return now.ElapsedSince(c.confirmedAt), c.confirmed
}

// confirmIfPolled starts a read if entry daemons poll this daemon and one is due.
func (e *Engine) confirmIfPolled() {
	now := e.cfg.Clock.Now()
	if !e.confirmation.due(now) {
		return
	}
	if _, err := e.startRead(now); err != nil {
		e.cfg.Log.WithError(err).Debug("cannot confirm the state with a majority")
	}
}

// startRead requests a read that starts now and returns its id. One that cannot be requested does not delay the next, so
// that the state is confirmed as soon as a leader is known.
func (e *Engine) startRead(now clock.Instant) (uint64, error) {
	id := e.confirmation.startRead(now)
	if err := e.node.ReadIndex(id); err != nil {
		delete(e.confirmation.sentReads, id)
		return 0, errors.Trace(err)
	}
	e.confirmation.lastRead = now
	return id, nil
}
