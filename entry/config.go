package entry

import (
	"net"
	"net/http"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/trace"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/settings"
	"pistachiomount.example/pistachiomount/transport"
)

// Config holds the configuration of an entry daemon. The listeners are already bound.
type Config struct {
	VM, Region, FailureDomain string
	Deployment                string
	Environment               apipb.Environment
	// Advertise is the address that lookups return to callers.
	Advertise string
	// Controls holds the initial RPC addresses of control daemons; others are learned.
	Controls []string
	Platform settings.Address

	CallerListener, AdminListener net.Listener
	Security                      *transport.Security
	Ready                         *settings.Ready
	Clock                         clock.Clock
	Log                           logrus.FieldLogger
	Meter                         metric.Meter
	Tracer                        trace.Tracer
	// AdminHandlers holds additional handlers of the admin listener, by path.
	AdminHandlers map[string]http.Handler
}
