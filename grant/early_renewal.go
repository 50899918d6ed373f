package grant

import (
	"time"

	"pistachiomount.example/pistachiomount/clock"
)

// ackThreshold is the relative decrease of a share above which it is acknowledged by an early
// renewal, because other holders wait for it. A smaller one waits for the regular renewal.
const ackThreshold = 0.2

// earlyRenewal decides when one resource needs a renewal before the regular one. It backs off
// while renewals bring no increase, so that a customer that constantly exceeds its rate does not
// cause a renewal each MinRenewInterval.
type earlyRenewal struct {
	wanted      bool
	pending     bool // wanted was set when the last request was built
	ackDue      bool // a decrease must be acknowledged
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
