package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/entry"
	"pistachiomount.example/pistachiomount/gateway/egress"
	"pistachiomount.example/pistachiomount/gateway/ingress"
	"pistachiomount.example/pistachiomount/gateway/link"
	"pistachiomount.example/pistachiomount/gateway/placement"
	"pistachiomount.example/pistachiomount/inventory"
	"pistachiomount.example/pistachiomount/membership"
	"pistachiomount.example/pistachiomount/memlimit"
	"pistachiomount.example/pistachiomount/transport"
)

// Gateway serves callers on one entry VM.
type Gateway struct {
	cfg          Config
	follower     *entry.PlanFollower
	knowledge    knowledge
	lifecycle    *membership.Lifecycle
	server       *ingress.Server
	pool         *egress.Pool
	splitter     *trafficSplitter
	latencies    *latencyAverages
	shiftLimiter *placement.ShiftLimiter
	rateLimiter  *rateLimiter
	requests     *requestLog
	metrics      *requestMetrics
	tracer       trace.Tracer

	// stopsAt is when a planned stop ends all requests, in Unix nanoseconds; 0 while none is under way.
	stopsAt atomic.Int64
	// services is replaced as a whole when a new plan is applied.
	services atomic.Pointer[map[string]*service]
	// mu protects the list of upstreams and updates of the tables.
	mu       sync.Mutex
	list     []inventory.Upstream
	listRead bool
	// vms are the entry VMs that the tables were last updated with.
	vms []placement.VM
	// listRequested is when the leader requested its latest list from the platform; until the first
	// list arrives, when the gateway was created.
	listRequested time.Time
}

// New returns a gateway, to be started with Run.
func New(cfg Config) (*Gateway, error) {
	if cfg.Tracer == nil {
		cfg.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if cfg.BufferMemory <= 0 {
		cfg.BufferMemory = DefaultBufferMemory
	}
	g := &Gateway{
		requests: newRequestLog(cfg.Log), tracer: cfg.Tracer,
		cfg: cfg, lifecycle: membership.NewLifecycle(cfg.Clock), pool: egress.NewPool(cfg.Upstream, memlimit.NewBudget(cfg.BufferMemory)),
		splitter: newTrafficSplitter(), latencies: newLatencyAverages(), shiftLimiter: placement.NewShiftLimiter(time.Now(), cfg.VM, cfg.Region),
	}
	g.services.Store(&map[string]*service{})
	g.listRequested = time.Now() // gives the leader time to send its list first
	g.server = ingress.NewServer(g, memlimit.NewBudget(cfg.BufferMemory), link.NewScheduler(cfg.LinkRate), cfg.Log)
	g.server.ReportCuts(g.recordCut)
	g.follower = entry.NewPlanFollower(entry.FollowerConfig{
		VM: cfg.VM, Region: cfg.Region, FailureDomain: cfg.FailureDomain, Address: cfg.Address, RPCAddress: cfg.RPCListener.Addr().String(),
		Controls: cfg.Controls, Security: cfg.Security, Clock: cfg.Clock, Log: cfg.Log,
		State: g.lifecycle.State, Load: func() float64 { return 0 }, OnChange: g.applyView, OnUpstreams: g.applyLeaderList,
		Demand: g.reportDemand, OnDemand: g.applyDemand, Notices: g.notices, OnNotices: g.applyNotices, OnFleet: g.applyFleet,
		MaxViewAge: cfg.MaxViewAge, OnCurrent: g.applyCurrent,
	})
	g.knowledge = g.follower
	g.rateLimiter = newRateLimiter(cfg.VM, cfg.Region, g.follower, cfg.Clock, cfg.Log)
	var err error
	g.metrics, err = newRequestMetrics(cfg.Meter, g)
	return g, errors.Annotate(err, "create metrics")
}

// Run serves callers until the context ends, then shuts down without cutting off requests.
func (g *Gateway) Run(ctx context.Context) error {
	if link.Slow(g.cfg.LinkRate) {
		g.cfg.Log.WithField("bits_per_s", g.cfg.LinkRate).Info("long responses are streamed and take turns on a slow link")
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { g.follower.Run(background) })
	wg.Go(func() { g.pollList(background) })
	wg.Go(func() { g.maintain(background) })
	wg.Go(func() { g.serveRates(background) })
	failed := make(chan error, 1)
	wg.Go(func() { failed <- g.server.Serve(g.cfg.Listener) })
	select {
	case err := <-failed:
		return errors.Trace(err)
	case <-ctx.Done():
	}
	g.shutdown()
	return nil
}

// serveRates runs the RPC server from which the other VMs of the region take tokens of customers'
// rates.
func (g *Gateway) serveRates(ctx context.Context) {
	mux := drpcmux.New()
	if err := apipb.DRPCRegisterRates(mux, &rateService{follower: g.follower, asked: g.rateLimiter.recordAsked}); err != nil {
		g.cfg.Log.WithError(err).Error("failed to serve rate tokens to other VMs")
		return
	}
	server := transport.NewServer(g.cfg.Security, map[transport.Role]drpc.Handler{
		transport.RoleControl: mux, transport.RoleEntry: mux,
	}, g.cfg.Log)
	if err := server.Serve(ctx, g.cfg.RPCListener); err != nil {
		g.cfg.Log.WithError(err).Error("failed to serve rate tokens to other VMs")
	}
}

// shutdown is a planned stop. The VM first leaves the directory, then waits as long as callers may use
// a directory response that contains this VM, then until every request has ended.
func (g *Gateway) shutdown() {
	limit := time.Now().Add(g.cfg.ShutdownTimeout - shutdownReserve)
	g.stopsAt.Store(limit.UnixNano())
	if err := g.lifecycle.Leave(); err != nil {
		g.cfg.Log.WithError(err).Error("failed to enter the leaving state")
	}
	g.cfg.Log.Info("shutting down")
	g.server.CloseAfterResponses()
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	go func() {
		if err := g.follower.Announce(ctx); err != nil {
			g.cfg.Log.WithError(err).Warn("failed to announce that this VM is leaving")
		}
	}()
	sleep(ctx, shutdownAcceptTime)
	g.server.StopAccepting()
	g.server.CloseIdle()
	for g.server.BusyConns() > 0 && ctx.Err() == nil {
		sleep(ctx, shutdownPollInterval)
		g.server.CloseIdle()
	}
	// The end of the process may cut what the kernel has not sent yet.
	sleep(ctx, g.server.Backlog())
	g.server.CloseIdle()
	if err := g.follower.ReturnGrants(ctx); err != nil {
		g.cfg.Log.WithError(err).Info("failed to return grants; they expire with their lease")
	}
	g.pool.Close()
	g.cfg.Log.WithField("busy", g.server.BusyConns()).Info("stopped")
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// recordCut records a response that was cut while it was sent.
func (g *Gateway) recordCut(cut ingress.Cut) {
	g.metrics.countCut(cut)
	g.requests.logUnsentResponse(cut.Request.Get(g.cfg.Headers.RequestID), cut)
}

// SetControls replaces the configured addresses of the control daemons.
func (g *Gateway) SetControls(addresses []string) { g.follower.SetControls(addresses) }

// Ready reports whether this VM accepts callers: it has a plan that it may act on and a list of upstreams, and is not
// leaving.
func (g *Gateway) Ready() bool {
	_, current := g.knowledge.Current()
	return current && g.lifecycle.State() == apipb.VmState_VM_STATE_SERVING
}

// applyCurrent lets a VM that starts serve as soon as it may act on its plan.
func (g *Gateway) applyCurrent() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serveWhenReady()
}

// serveWhenReady enters the serving state once there is a plan that this VM may act on and a list.
func (g *Gateway) serveWhenReady() {
	if g.lifecycle.State() != apipb.VmState_VM_STATE_STARTING || !g.listRead || g.follower.View().Index == nil || !g.follower.ViewIsCurrent() {
		return
	}
	if err := g.lifecycle.Serve(); err != nil {
		g.cfg.Log.WithError(err).Error("failed to enter the serving state")
		return
	}
	g.cfg.Log.Info("serving")
}

func (g *Gateway) location() placement.Location {
	return placement.Location{Region: g.cfg.Region, FailureDomain: g.cfg.FailureDomain, VM: g.cfg.VM}
}

// service returns the state of a service, or nil if the plan has no such service.
func (g *Gateway) service(name string) *service { return (*g.services.Load())[name] }

// applyView applies a new plan: services, limits, evacuations and customers.
func (g *Gateway) applyView(view *entry.PlanView) {
	g.mu.Lock()
	defer g.mu.Unlock()
	limits := view.Index.Plan.Limits
	g.server.SetLimits(ingress.Limits{
		MaxHeaderBytes: limits.MaxHeaderBytes, MaxBodyBytes: limits.MaxBodyBytes,
		HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
	})
	services := make(map[string]*service, len(view.Index.Plan.Services))
	added := map[string]bool{}
	for _, s := range view.Index.Plan.Services {
		current := g.service(s.Name)
		if current == nil {
			current = newService(s.Name, g.location(), g.shiftLimiter, g.cfg.Retries)
			added[s.Name] = true
		}
		services[s.Name] = current
		current.permits.withTable(func(now time.Time, table *placement.Table) {
			table.SetWarmup(s.Warmup, s.WarmupRate)
			table.SetEvacuated(now, view.Evacuated)
		})
	}
	g.services.Store(&services)
	g.splitter.reset()
	g.rateLimiter.updateShares(view.Index.Plan.Customers)
	g.updateTables(func(name string) bool { return added[name] })
}

// updateTables passes the list to the placement tables. Upstreams in the first list of a new table are
// not treated as newly started.
func (g *Gateway) updateTables(added func(string) bool) {
	if !g.listRead {
		return
	}
	byService := map[string][]inventory.Upstream{}
	for _, u := range g.list {
		byService[u.Service] = append(byService[u.Service], u)
	}
	vms := g.knownVMs()
	g.vms = vms
	for name, s := range *g.services.Load() {
		s.retries.SetVMs(len(vms))
		s.permits.withTable(func(now time.Time, table *placement.Table) {
			table.SetFleet(vms)
			for _, id := range table.SetUpstreams(now, byService[name], added(name)) {
				g.pool.CloseUpstream(id)
			}
			g.shiftLimiter.SetInitialShares(table.InitialShares())
		})
	}
	g.dropAppliedCold()
}

// dropAppliedCold removes the cold times that the tables have applied from the kept list, since they hold only when
// the list arrives. Others share the list, so it is copied.
func (g *Gateway) dropAppliedCold() {
	g.list = slices.Clone(g.list)
	for i := range g.list {
		if g.service(g.list[i].Service) != nil {
			g.list[i].Cold = 0
		}
	}
}

// applyFleet passes a changed list of entry VMs to the tables. It comes with the first shares of rates, and without
// it each VM would start with all slots of upstreams that it has not heard from.
func (g *Gateway) applyFleet() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !slices.Equal(g.knownVMs(), g.vms) {
		g.updateTables(func(string) bool { return false })
	}
}

// knownVMs returns the known entry VMs, this one included.
func (g *Gateway) knownVMs() []placement.VM {
	vms := []placement.VM{{Name: g.cfg.VM, Region: g.cfg.Region}}
	for _, vm := range g.follower.Fleet() {
		if vm.Name != g.cfg.VM {
			vms = append(vms, placement.VM{Name: vm.Name, Region: vm.Region})
		}
	}
	return vms
}
