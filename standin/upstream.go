package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// Upstream is the stand-in for one endpoint. It is an http.Handler; an
// UpstreamServer adds a listener with a connection limit. It is safe for
// concurrent use.
type Upstream struct {
	config    UpstreamConfig
	control   http.Handler
	recorder  *recorder
	scanner   *secretScanner
	slots     chan struct{}
	queued    atomic.Int64
	behaviour atomic.Pointer[Behaviour]

	connections atomic.Uint64
	// setListening is set by an UpstreamServer to open or close its socket.
	setListening func(open bool) error

	mu       sync.Mutex
	random   *rand.Rand
	runCount int
}

// connNumberKey is the context key of the number of a connection.
type connNumberKey struct{}

// NewUpstream returns an upstream in ModeNormal.
func NewUpstream(config UpstreamConfig) (*Upstream, error) {
	if err := config.validate(); err != nil {
		return nil, errors.Trace(err)
	}
	u := &Upstream{
		config:       config,
		recorder:     newRecorder(config.MaxRecords),
		slots:        make(chan struct{}, config.Slots),
		setListening: func(bool) error { return nil },
		random:       rand.New(rand.NewPCG(config.Seed, 0)),
	}
	u.scanner = newSecretScanner(config.Secrets, u.recorder.recordSecret)
	u.behaviour.Store(&Behaviour{Mode: ModeNormal})
	u.control = u.controlRoutes()
	return u, nil
}

// ID returns the id of the upstream.
func (u *Upstream) ID() string {
	return u.config.ID
}

// Record returns a snapshot of what the upstream has recorded so far.
func (u *Upstream) Record() Record {
	return u.recorder.snapshot(u.config.ID)
}

// SetBehaviour replaces the behaviour for requests that arrive afterwards.
func (u *Upstream) SetBehaviour(b Behaviour) error {
	if err := b.validate(); err != nil {
		return errors.Trace(err)
	}
	b.lastSilentConn = u.connections.Load()
	u.behaviour.Store(&b)
	return errors.Trace(u.setListening(b.Mode != ModeRefuse))
}

// ConnContext numbers the connections for ModeSilentOpen; it is the
// ConnContext of an http.Server that serves the upstream.
func (u *Upstream) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connNumberKey{}, u.connections.Add(1))
}

// serviceTime returns the duration of the next request.
func (u *Upstream) serviceTime(b *Behaviour) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runCount++
	ms := float64(u.config.ServiceTimeMS)
	if u.config.JitterMS > 0 {
		ms += u.random.Float64() * float64(u.config.JitterMS)
	}
	if u.runCount <= u.config.ColdRequests {
		ms *= u.config.ColdFactor
	}
	if b.Mode == ModeSlow {
		ms += float64(b.DelayMS)
	}
	return time.Duration(ms * float64(time.Millisecond))
}
