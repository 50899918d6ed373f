package inventory

import (
	"time"

	"pistachiomount.example/pistachiomount/clock"
)

// Load is an upstream's response to GET /load. It may be wrong.
type Load struct {
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
}

// LoadReport is the result of probing one upstream.
type LoadReport struct {
	UpstreamID string
	// Healthy is true if GET /healthz returned status 200.
	Healthy bool
	// Leaving is true if a response signalled that the upstream is draining.
	Leaving bool
	// Load is valid if HasLoad is true.
	Load    Load
	HasLoad bool
	// MeasuredAt is when the probe was sent.
	MeasuredAt clock.Instant
	// Err is the reason why the health or the load is missing.
	Err error
}

// Age returns the time since the probe was sent.
func (r LoadReport) Age(now clock.Instant) time.Duration {
	return now.ElapsedSince(r.MeasuredAt)
}
