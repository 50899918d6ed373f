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
	// ObjectCookie is the name of the cookie that identifies the object of a request.
	ObjectCookie string
}

// Config configures a Gateway. Its listeners are already bound.
type Config struct {
	VM, Region, FailureDomain string
	// Address is where callers reach this VM.
	Address  string
	Listener net.Listener
	// RPCListener accepts calls from other entry VMs.
	RPCListener net.Listener
	Controls    []string
	Security    *transport.Security
	// Lister reads the list of upstreams if the leader has not sent one for a while.
	Lister inventory.Lister
	Clock  clock.Clock
	Log    logrus.FieldLogger
	Meter  metric.Meter
	Tracer trace.Tracer

	Headers  HeaderNames
	Upstream egress.HeaderNames
	Retries  budget.Limits
	// BufferMemory is the memory for request bodies that are read before they are forwarded, and as much
	// again for response bodies, in bytes; DefaultBufferMemory if 0.
	BufferMemory int64
	// LinkRate is the rate of this VM's link in bits per second; 0 if unknown. On a slow link long responses are
	// streamed to callers where that costs no retry, and take turns.
	LinkRate int64
	// ShutdownTimeout limits the duration of a planned stop.
	ShutdownTimeout time.Duration
	// MaxListRate is how many times per second all VMs together may read the list.
	MaxListRate float64
	// MaxViewAge is the age of the last confirmation of the plan above which this VM does not treat
	// unknown routes and keys as nonexistent.
	MaxViewAge time.Duration
}

// DefaultBufferMemory is the memory for buffered bodies, in bytes, where the memory of the VM is not
// known.
const DefaultBufferMemory = 64 << 20
