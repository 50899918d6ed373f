package inventory

import (
	"time"

	"pistachiomount.example/pistachiomount/clock"
)

// Load is the answer of an upstream's GET /load. Upstreams may misreport it.
type Load struct {
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
}

// LoadReport is the result of probing one upstream.
type LoadReport struct {
	UpstreamID string
	// Healthy is true if GET /healthz answered 200.
	Healthy bool
	// Leaving is true if an answer announced that the upstream drains.
	Leaving bool
	// Load is valid if HasLoad is true.
	Load    Load
	HasLoad bool
	// MeasuredAt is when the probe was sent.
	MeasuredAt clock.Instant
	// Err tells why the health or the load is missing.
	Err error
}

// Age returns the time since the probe was sent.
func (r LoadReport) Age(now clock.Instant) time.Duration {
	return now.ElapsedSince(r.MeasuredAt)
}
