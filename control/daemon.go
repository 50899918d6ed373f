package control

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alexedwards/flow"
	"github.com/juju/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/consensus"
	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/headlimit"
	"pistachiomount.example/pistachiomount/telemetry"
	"pistachiomount.example/pistachiomount/transport"
	"pistachiomount.example/pistachiomount/wal"
)

// Timeouts of the operators' HTTP interface.
const (
	httpReadTimeout     = 10 * time.Second
	httpWriteTimeout    = 15 * time.Second
	httpIdleTimeout     = 60 * time.Second
	httpShutdownTimeout = 5 * time.Second
)

// Daemon runs one control daemon: its member of the consensus group and its servers.
type Daemon struct {
	cfg            Config
	log            *wal.Log
	memberID       uint64
	self           *apipb.Member
	peers          *transport.Peers
	dialForwarding forwardingDialer
	ownership      *ownership
	// peerAddresses holds the configured addresses of other control daemons, which
	// may change at run time.
	peerAddresses atomic.Pointer[[]string]
	metrics       *daemonMetrics
	source        planSource

	mu       sync.Mutex
	engine   *Engine
	formedID chan uint64 // id of the cluster that this process formed
	formed   bool
	// storageFailed receives an error if the state of a new cluster could not be written.
	storageFailed chan error
	// formingID is the id of the cluster that an init is about to form, or 0. Peers
	// see it, so that two daemons initialised at the same time do not form two
	// clusters.
	formingID uint64
	// loadedState is what the log held when it was opened.
	loadedState consensus.PersistentState
	// bootstrap is the state of a cluster that this process formed. The log does
	// not return it: Load covers only what was on disk when the log was opened.
	bootstrap *consensus.PersistentState
}

// New opens the data directory and returns a daemon, which Run starts.
func New(cfg Config) (*Daemon, error) {
	log, err := wal.Open(cfg.DataDir, wal.Identity{})
	if err != nil {
		return nil, errors.Annotatef(err, "data directory %s", cfg.DataDir)
	}
	d := &Daemon{
		cfg:           cfg,
		log:           log,
		memberID:      log.Identity().MemberID,
		peers:         transport.NewPeers(cfg.Security),
		formedID:      make(chan uint64, 1),
		storageFailed: make(chan error, 1),
	}
	d.SetPeers(cfg.Peers)
	if d.loadedState, err = log.Load(); err != nil {
		_ = log.Close()
		return nil, errors.Annotatef(err, "data directory %s", cfg.DataDir)
	}
	d.self = &apipb.Member{
		Id: d.memberID, Name: cfg.Name, Region: cfg.Region, FailureDomain: cfg.FailureDomain,
		RpcAddress: rpcAddress(cfg), HttpAddress: cfg.HTTPListener.Addr().String(),
	}
	if cfg.Quarantine == 0 {
		d.cfg.Quarantine = document.MaxDeadlineMS * time.Millisecond
	}
	if d.metrics, err = newDaemonMetrics(cfg.Meter); err != nil {
		_ = log.Close()
		return nil, errors.Annotate(err, "metrics")
	}
	d.dialForwarding = newForwardingDialer(d.peers)
	d.ownership = newOwnership(&d.cfg)
	return d, nil
}

// SetPeers replaces the configured addresses of other control daemons.
func (d *Daemon) SetPeers(addresses []string) { d.peerAddresses.Store(&addresses) }

func (d *Daemon) configuredPeers() []string { return *d.peerAddresses.Load() }

func rpcAddress(cfg Config) string {
	if cfg.AdvertiseRPC != "" {
		return cfg.AdvertiseRPC
	}
	return cfg.RPCListener.Addr().String()
}

// Run serves until the context ends, then transfers leadership and stops.
func (d *Daemon) Run(ctx context.Context) error {
	defer func() { _ = d.log.Close() }()
	defer d.peers.Close()
	unregister, err := registerGauges(d.cfg.Meter, d)
	if err != nil {
		return errors.Annotate(err, "metrics")
	}
	defer func() { _ = unregister() }()
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop() // runs before wg.Wait, which would block otherwise
	failed := make(chan error, 3)
	wg.Go(func() { failed <- d.serveRPC(serveCtx) })
	wg.Go(func() { failed <- d.serveHTTP(serveCtx) })
	wg.Go(func() { failed <- d.runMember(serveCtx) })
	select {
	case err := <-failed:
		return errors.Trace(err)
	case <-ctx.Done():
	}
	if engine, err := d.currentEngine(); err == nil {
		engine.transferLeadership(serveCtx)
	}
	return nil
}

// currentEngine returns the engine, or ErrNotInitialised before the daemon belongs
// to a cluster.
func (d *Daemon) currentEngine() (*Engine, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.engine == nil {
		return nil, errors.Trace(ErrNotInitialised)
	}
	return d.engine, nil
}

// runMember waits for a cluster if the daemon has none, then runs the engine.
func (d *Daemon) runMember(ctx context.Context) error {
	clusterID := d.log.Identity().ClusterID
	if clusterID == 0 {
		id, err := d.awaitCluster(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Trace(err)
		}
		clusterID = id
	} else {
		d.announceAsync(ctx)
	}
	engine, sender, err := d.startEngine(clusterID)
	if err != nil {
		return errors.Trace(err)
	}
	defer sender.Close()
	go engine.promoteLearners(ctx)
	go d.newJoiner().rejoinWhenRemoved(ctx, engine)
	go d.ownership.pollUpstreamList(ctx, engine)
	return errors.Trace(engine.Run(ctx))
}

func (d *Daemon) newJoiner() *joiner {
	return &joiner{self: d.self, peerAddresses: d.configuredPeers, peers: d.peers, log: d.cfg.Log}
}

// announceAsync reports this daemon's address to the group, which may have changed,
// without delaying the start.
func (d *Daemon) announceAsync(ctx context.Context) {
	if len(d.configuredPeers()) > 0 {
		go d.newJoiner().announce(ctx)
	}
}

// awaitCluster waits until a peer's cluster accepts this daemon or one is formed
// here. It makes the cluster id durable before it returns.
func (d *Daemon) awaitCluster(ctx context.Context) (uint64, error) {
	d.cfg.Log.Info("no cluster yet: waiting to join a peer's cluster or for init")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if d.cfg.FormCluster {
		go d.formAutomatically(ctx)
	}
	found := make(chan uint64, 1)
	go func() {
		if id, err := d.newJoiner().discover(ctx); err == nil {
			found <- id
		}
	}()
	select {
	case <-ctx.Done():
		return 0, errors.Trace(ctx.Err())
	case id := <-d.formedID:
		return id, nil
	case err := <-d.storageFailed:
		return 0, errors.Trace(err)
	case id := <-found:
		return d.adoptCluster(id)
	}
}

func (d *Daemon) startEngine(clusterID uint64) (*Engine, *PeerSender, error) {
	var engine *Engine
	sender := NewPeerSender(PeerSenderConfig{
		ClusterID: clusterID, Self: d.self, Deliver: deliverTo(d.peers), Log: d.cfg.Log,
		Failed: func(ctx context.Context, m *apipb.ConsensusMessage) { engine.reportFailure(ctx, m) },
	})
	engine, err := NewEngine(EngineConfig{
		ClusterID: clusterID, Self: d.self, Persisted: d.persisted(), Storage: &instrumentedStorage{d.log, d.metrics, d.cfg.Clock},
		Sender: sender, Clock: d.cfg.Clock, Log: d.cfg.Log, Seed: rand.Uint64(),
	})
	if err != nil {
		sender.Close()
		return nil, nil, errors.Trace(err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engine = engine
	d.cfg.Log.WithField("cluster", clusterID).WithField("member", d.memberID).Info("cluster member started")
	return engine, sender, nil
}

// serveRPC serves RPCs until the context ends. Entry daemons reach only the Control
// service; control daemons reach all services.
func (d *Daemon) serveRPC(ctx context.Context) error {
	all, entry := drpcmux.New(), drpcmux.New()
	for _, register := range []error{
		apipb.DRPCRegisterConsensus(all, &consensusService{daemon: d}),
		apipb.DRPCRegisterForwarding(all, &consensusService{daemon: d}),
		apipb.DRPCRegisterControl(all, &controlService{daemon: d}),
		apipb.DRPCRegisterControl(entry, &controlService{daemon: d}),
	} {
		if register != nil {
			return errors.Trace(register)
		}
	}
	server := transport.NewServer(d.cfg.Security, map[transport.Role]drpc.Handler{
		transport.RoleControl: transport.NewTracedHandler(all, d.cfg.Tracer),
		transport.RoleEntry:   transport.NewTracedHandler(entry, d.cfg.Tracer),
	}, d.cfg.Log)
	return errors.Annotate(server.Serve(ctx, d.cfg.RPCListener), "serve RPC")
}

// handler returns the HTTP handler for operators.
func (d *Daemon) handler() http.Handler {
	mux := flow.New()
	api := &operatorAPI{daemon: d, auth: operatorAuth{tokens: d.cfg.OperatorTokens}}
	api.routes(mux)
	for pattern, handler := range d.cfg.Handlers {
		mux.Handle(pattern, handler, http.MethodGet)
	}
	return mux
}

func (d *Daemon) serveHTTP(ctx context.Context) error {
	server := &http.Server{
		Handler: d.handler(), ReadTimeout: httpReadTimeout, WriteTimeout: httpWriteTimeout,
		IdleTimeout: httpIdleTimeout, MaxHeaderBytes: headlimit.MaxBytes,
		ErrorLog: telemetry.ServerLog(d.cfg.Log),
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), httpShutdownTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
	}()
	if err := server.Serve(d.cfg.HTTPListener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Annotate(err, "serve HTTP")
	}
	<-stopped
	return nil
}
