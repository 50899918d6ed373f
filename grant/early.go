package grant

import (
	"time"

	"pistachiomount.example/pistachiomount/clock"
)

// ackThreshold is the decrease that is acknowledged by an early renewal, since
// other holders wait for it. Smaller ones wait for the regular renewal.
const ackThreshold = 0.2

// earlyRenewal decides when one resource asks for an early renewal. It backs
// off while renewals bring no increase, so that a customer that sends more than
// its rate does not cause five renewals per second for as long as it does.
type earlyRenewal struct {
	wanted      bool
	pending     bool // wanted when the last request was built
	ackDue      bool // a decrease is to be acknowledged
	backoff     time.Duration
	requestedAt clock.Instant
}

func (e *earlyRenewal) request() { e.wanted = true }

func (e *earlyRenewal) due(now clock.Instant) bool {
	return e.ackDue || e.wanted && now.ElapsedSince(e.requestedAt) >= e.backoff
}

func (e *earlyRenewal) onRequest(now clock.Instant, held float64) {
	e.pending, e.wanted, e.ackDue = e.wanted && held > 0, false, false
	e.requestedAt = now
}

func (e *earlyRenewal) onReply(share, held float64) {
	e.ackDue = share < held*(1-ackThreshold)
	switch {
	case !e.pending || share > held*1.01:
		e.backoff = 0
	default:
		e.backoff = min(max(2*e.backoff, 2*MinRenewInterval), RenewInterval)
	}
	e.pending = false
}
