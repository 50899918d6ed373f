package forward

import (
	"math/rand/v2"

	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/forward/pool"
)

// Config configures a Handler. All interfaces are required.
type Config struct {
	Views    Views
	Admitter Admitter
	Regions  RegionGrants
	Links    LinkGrants
	Slots    Slots
	Chooser  Chooser
	Queue    Queue
	Claims   Claims
	Jobs     Jobs
	Observer Observer
	Pool     *pool.Set
	// Tracer defaults to one that records nothing.
	Tracer trace.Tracer
	// Random generates request and attempt ids; it must be safe for concurrent use.
	Random func() uint64
	// Holder and Incarnation identify this entry VM in claims.
	Holder      string
	Incarnation uint64
	Environment apipb.Environment
	Limits      Limits
}

func (c Config) withDefaults() Config {
	if c.Tracer == nil {
		c.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if c.Random == nil {
		c.Random = rand.Uint64
	}
	c.Limits = c.Limits.withDefaults()
	return c
}
