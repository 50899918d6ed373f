package standin

import (
	"context"
	"time"

	"github.com/juju/errors"
)

const (
	// DefaultMaxRecords is the default number of distinct requests that an
	// upstream records; at about 300 bytes each they take 3 MB.
	DefaultMaxRecords = 10_000
	// DefaultSlots and DefaultMaxConnections match the smaller services of the
	// design document.
	DefaultSlots          = 5
	DefaultMaxConnections = 330
)

// UpstreamConfig describes one endpoint of a service.
type UpstreamConfig struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Slots is the number of requests that run concurrently. Up to Queue more
	// wait for a slot; further ones are rejected with 503.
	Slots int `json:"slots"`
	Queue int `json:"queue"`
	// MaxConnections is the largest number of open connections of an UpstreamServer.
	MaxConnections int `json:"max_connections"`
	// ServiceTimeMS is the duration of a request; a random time below JitterMS is added.
	ServiceTimeMS int64 `json:"service_time_ms"`
	JitterMS      int64 `json:"jitter_ms"`
	// Seed makes the random times reproducible.
	Seed uint64 `json:"seed"`
	// The first ColdRequests requests take ColdFactor times as long (cold start).
	ColdRequests int     `json:"cold_requests"`
	ColdFactor   float64 `json:"cold_factor"`
	// Secrets are searched for in all parts of each request.
	Secrets []string `json:"secrets"`
	// MaxRecords is the largest number of distinct requests that are recorded.
	MaxRecords int `json:"max_records"`
	// Wait replaces the wait for the service time; tests use it to block requests.
	Wait func(context.Context, time.Duration) error `json:"-"`
}

func (c *UpstreamConfig) validate() error {
	setDefault(&c.Slots, DefaultSlots)
	setDefault(&c.MaxConnections, DefaultMaxConnections)
	setDefault(&c.MaxRecords, DefaultMaxRecords)
	setDefault(&c.ColdFactor, 1)
	if c.Wait == nil {
		c.Wait = sleep
	}
	if c.Slots < 0 || c.Queue < 0 || c.MaxConnections < 0 || c.MaxRecords < 0 || c.ColdRequests < 0 {
		return errors.WithType(errors.Errorf("upstream %q: a limit is negative", c.ID), ErrInvalidConfig)
	}
	if c.ServiceTimeMS < 0 || c.JitterMS < 0 || c.ServiceTimeMS+c.JitterMS > maxDelay.Milliseconds() {
		return errors.WithType(errors.Errorf("upstream %q: service time is outside the range 0 to %s", c.ID, maxDelay), ErrInvalidConfig)
	}
	if !(c.ColdFactor >= 1 && c.ColdFactor <= 1000) {
		return errors.WithType(errors.Errorf("upstream %q: cold_factor is outside the range 1 to 1000", c.ID), ErrInvalidConfig)
	}
	return nil
}

func setDefault[T int | float64](value *T, defaultValue T) {
	if *value == 0 {
		*value = defaultValue
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
