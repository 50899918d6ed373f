package control

import (
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/trace"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/inventory"
	"pistachiomount.example/pistachiomount/transport"
)

// Config holds the settings of a control daemon. Its listeners are bound
// already, so that their addresses are known.
type Config struct {
	// Name is the VM's name. Two running daemons must not share one.
	Name          string
	Region        string
	FailureDomain string
	// Deployment is the installation; documents of others are refused.
	Deployment string
	DataDir    string
	// Peers are the RPC addresses of other control daemons, used to find a
	// cluster. One that answers is enough.
	Peers []string
	// OperatorTokens maps the SHA-256 digest of a token, in hexadecimal, to the
	// operator's name.
	OperatorTokens map[string]string
	// Platforms gives the lists of each environment; the slots of its upstreams are
	// shared out.
	Platforms map[apipb.Environment]PlatformLists

	// AdvertiseRPC is where other daemons reach this one; the address of
	// RPCListener by default.
	AdvertiseRPC string
	RPCListener  net.Listener
	HTTPListener net.Listener
	Security     *transport.Security
	Clock        clock.Clock
	Log          logrus.FieldLogger
	Meter        metric.Meter
	Tracer       trace.Tracer // nil: no traces
	// Handlers are further GET handlers of the HTTP listener, by path, such as
	// metrics and readiness.
	Handlers map[string]http.Handler
	// Quarantine is how long units of a lost holder stay unused; 0 means the
	// longest route deadline that a document may set.
	Quarantine time.Duration
	// FormCluster lets this daemon form the cluster by itself when it has no state and no
	// peer that answers belongs to one. At most one daemon of an installation may
	// have it set, and only at the very first start.
	FormCluster bool
	// Lister reads the list of upstreams while this daemon leads, for all entry VMs;
	// nil if they read it themselves.
	Lister inventory.Lister
	// MinVoters is how many voters the group must have before a routing plan or an
	// evacuation is accepted; below it the loss of one disk could lose it.
	MinVoters int
}
