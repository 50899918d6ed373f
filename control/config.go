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

// Config holds the settings of a control daemon. Its listeners are already bound,
// so their addresses are known.
type Config struct {
	// Name is the name of the VM. Two running daemons must not share one.
	Name          string
	Region        string
	FailureDomain string
	// Deployment names the installation. Documents for other installations are
	// rejected.
	Deployment string
	DataDir    string
	// Peers are the RPC addresses of other control daemons, through which this one
	// finds its cluster. One reachable peer is enough.
	Peers []string
	// OperatorTokens maps the SHA-256 digest of a token, in hexadecimal, to the
	// operator's name.
	OperatorTokens map[string]string
	// Platforms returns the platform's lists for each environment. The slots of the
	// listed upstreams are shared out as grants.
	Platforms map[apipb.Environment]PlatformLists

	// AdvertiseRPC is the address at which other daemons reach this one. It
	// defaults to the address of RPCListener.
	AdvertiseRPC string
	RPCListener  net.Listener
	HTTPListener net.Listener
	Security     *transport.Security
	Clock        clock.Clock
	Log          logrus.FieldLogger
	Meter        metric.Meter
	Tracer       trace.Tracer // nil disables tracing
	// Handlers holds additional GET handlers of the HTTP listener by path, such as
	// metrics and readiness.
	Handlers map[string]http.Handler
	// Quarantine is how long units of a lost holder stay unused. 0 means the
	// longest route deadline that a document may set.
	Quarantine time.Duration
	// FormCluster lets this daemon form the cluster without an operator when it has
	// no state and no reachable peer belongs to one. At most one daemon of an
	// installation may have it set, and only at the very first start.
	FormCluster bool
	// Lister reads the list of upstreams for all entry VMs while this daemon leads.
	// It is nil if the entry VMs read the list themselves.
	Lister inventory.Lister
	// MinVoters is the number of voters the group needs before it accepts a routing
	// plan or an evacuation. With fewer, the loss of one disk could lose the change.
	MinVoters int
}
