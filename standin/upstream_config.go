package standin

import (
	"context"
	"time"

	"github.com/juju/errors"
)

const (
	// DefaultMaxRecords bounds the requests that an upstream remembers one by
	// one; at about 300 bytes each this takes 3 MB.
	DefaultMaxRecords = 10_000
	// DefaultSlots and DefaultMaxConnections are those of the smaller services
	// on the design page.
	DefaultSlots          = 5
	DefaultMaxConnections = 330
)

// UpstreamConfig describes one endpoint of a service.
type UpstreamConfig struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Slots bounds the requests that run at once. Up to Queue more wait for a
	// slot; further ones are answered with 503.
	Slots int `json:"slots"`
	Queue int `json:"queue"`
	// MaxConnections bounds the connections of an UpstreamServer.
	MaxConnections int `json:"max_connections"`
	// ServiceTimeMS is how long a request runs, plus a random time below JitterMS.
	ServiceTimeMS int64 `json:"service_time_ms"`
	JitterMS      int64 `json:"jitter_ms"`
	// Seed makes the random times repeatable.
	Seed uint64 `json:"seed"`
	// The first ColdRequests take ColdFactor times as long.
	ColdRequests int     `json:"cold_requests"`
	ColdFactor   float64 `json:"cold_factor"`
	// Secrets are searched for in everything that arrives.
	Secrets []string `json:"secrets"`
	// MaxRecords bounds the remembered requests.
	MaxRecords int `json:"max_records"`
	// Wait replaces the wait for the service time; tests use it to hold requests.
	Wait func(context.Context, time.Duration) error `json:"-"`
}

func (c *UpstreamConfig) check() error {
	setDefault(&c.Slots, DefaultSlots)
	setDefault(&c.MaxConnections, DefaultMaxConnections)
	setDefault(&c.MaxRecords, DefaultMaxRecords)
	setDefault(&c.ColdFactor, 1)
	if c.Wait == nil {
		c.Wait = waitTimer
	}
	if c.Slots < 0 || c.Queue < 0 || c.MaxConnections < 0 || c.MaxRecords < 0 || c.ColdRequests < 0 {
		return errors.WithType(errors.Errorf("upstream %q: a limit is negative", c.ID), ErrInvalidConfig)
	}
	if c.ServiceTimeMS < 0 || c.JitterMS < 0 || c.ServiceTimeMS+c.JitterMS > maxDelay.Milliseconds() {
		return errors.WithType(errors.Errorf("upstream %q: service time is not from 0 to %s", c.ID, maxDelay), ErrInvalidConfig)
	}
	if !(c.ColdFactor >= 1 && c.ColdFactor <= 1000) {
		return errors.WithType(errors.Errorf("upstream %q: cold_factor is not from 1 to 1000", c.ID), ErrInvalidConfig)
	}
	return nil
}

func setDefault[T int | float64](value *T, standard T) {
	if *value == 0 {
		*value = standard
	}
}

func waitTimer(ctx context.Context, d time.Duration) error {
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
