package gateway

import (
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/trace"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/gateway/budget"
	"pistachiomount.example/pistachiomount/gateway/egress"
	"pistachiomount.example/pistachiomount/inventory"
	"pistachiomount.example/pistachiomount/transport"
)

// HeaderNames are the names of the headers between callers and entry VMs.
type HeaderNames struct {
	RequestID string
	Deadline  string
	Key       string
	// ObjectCookie is the cookie that names the object of a request.
	ObjectCookie string
}

// Config holds what a Gateway is made from. Its listener is bound already.
type Config struct {
	VM, Region, FailureDomain string
	// Address is where callers reach this VM.
	Address  string
	Listener net.Listener
	// RPCListener takes calls of other entry VMs.
	RPCListener net.Listener
	Controls    []string
	Security    *transport.Security
	// Lister reads the list of upstreams when the leader's has not come for a while.
	Lister inventory.Lister
	Clock  clock.Clock
	Log    logrus.FieldLogger
	Meter  metric.Meter
	Tracer trace.Tracer

	Headers  HeaderNames
	Upstream egress.HeaderNames
	Retries  budget.Limits
	// ShutdownTimeout is how long a planned stop may take.
	ShutdownTimeout time.Duration
	// MaxListRate is how often per second all VMs together may read the list.
	MaxListRate float64
	// MaxViewAge is how old the confirmation of the plan may be before a route or a
	// key that is not known counts as not known yet.
	MaxViewAge time.Duration
}
