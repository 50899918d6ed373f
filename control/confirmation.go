package control

import (
	"time"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/consensus"
)

// confirmation tracks up to which instant the applied state is known to be
// complete: it holds everything that was committed before confirmedAt.
type confirmation struct {
	nextID      uint64
	sent        map[uint64]clock.Instant // reads on the way, by id
	waiting     []waitingRead            // answered reads whose index is not applied yet
	confirmed   bool
	confirmedAt clock.Instant
	lastSent    clock.Instant
	watchedAt   clock.Instant
	watched     bool
}

type waitingRead struct {
	index uint64
	sent  clock.Instant
}

func (c *confirmation) init() {
	c.sent = map[uint64]clock.Instant{}
}

// begin registers a read that starts now and returns its id.
func (c *confirmation) begin(now clock.Instant) uint64 {
	c.nextID++
	c.sent[c.nextID] = now
	c.lastSent = now
	for id, at := range c.sent {
		if now.ElapsedSince(at) > readTimeout {
			delete(c.sent, id)
		}
	}
	return c.nextID
}

func (c *confirmation) due(now clock.Instant) bool {
	return c.watched && now.ElapsedSince(c.watchedAt) < watchedFor && now.ElapsedSince(c.lastSent) >= confirmInterval
}

func (c *confirmation) watch(now clock.Instant) {
	c.watched, c.watchedAt = true, now
}

// answer takes in confirmed reads and moves confirmedAt for those whose index is applied.
func (c *confirmation) answer(reads []consensus.ReadState, applied uint64) {
	for _, read := range reads {
		if sent, ok := c.sent[read.RequestID]; ok {
			c.waiting = append(c.waiting, waitingRead{read.Index, sent})
			delete(c.sent, read.RequestID)
		}
	}
	remaining := c.waiting[:0]
	for _, read := range c.waiting {
		if read.index > applied {
			remaining = append(remaining, read)
			continue
		}
		c.confirmUpTo(read.sent)
	}
	c.waiting = remaining
}

func (c *confirmation) confirmUpTo(sent clock.Instant) {
	if !c.confirmed || sent.Mono > c.confirmedAt.Mono {
		c.confirmed, c.confirmedAt = true, sent
	}
}

// age returns how old the confirmation is.
func (c *confirmation) age(now clock.Instant) (time.Duration, bool) {
	return now.ElapsedSince(c.confirmedAt), c.confirmed
}

// confirm starts a read if entry daemons watch this one.
func (e *Engine) confirm() {
	now := e.cfg.Clock.Now()
	if !e.confirmation.due(now) {
		return
	}
	if err := e.node.ReadIndex(e.confirmation.begin(now)); err != nil {
		e.cfg.Log.WithError(err).Debug("state not confirmed")
	}
}
