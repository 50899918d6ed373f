package gateway

import (
	"context"
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
	"pistachiomount.example/pistachiomount/gateway/placement"
	"pistachiomount.example/pistachiomount/inventory"
	"pistachiomount.example/pistachiomount/membership"
	"pistachiomount.example/pistachiomount/transport"
)

// Gateway serves callers on one entry VM.
type Gateway struct {
	cfg       Config
	follower  *entry.PlanFollower
	lifecycle *membership.Lifecycle
	server    *ingress.Server
	pool      *egress.Pool
	splitter  *splitter
	usual     *usual
	pace      *placement.ShiftLimiter
	rates     *rates
	requests  *requestLog
	observer  *observer
	tracer    trace.Tracer

	// services is replaced as a whole when the plan names others.
	services atomic.Pointer[map[string]*service]
	// mu guards the list and the hand-over of lists and views to the tables.
	mu     sync.Mutex
	list   []inventory.Upstream
	listed bool
	// vms are the entry VMs that the tables know of.
	vms []string
	// listAsked is when the list at hand was asked for at the platform.
	listAsked time.Time
}

// New returns a gateway that Run starts.
func New(cfg Config) (*Gateway, error) {
	if cfg.Tracer == nil {
		cfg.Tracer = noop.NewTracerProvider().Tracer("")
	}
	g := &Gateway{
		requests: newRequestLog(cfg.Log), tracer: cfg.Tracer,
		cfg: cfg, lifecycle: membership.NewLifecycle(cfg.Clock), pool: egress.NewPool(cfg.Upstream),
		splitter: newSplitter(), usual: newUsual(), pace: placement.NewShiftLimiter(time.Now(), cfg.Region),
	}
	g.services.Store(&map[string]*service{})
	g.listAsked = time.Now() // the leader's list is waited for first
	g.server = ingress.NewServer(g, cfg.Log)
	g.follower = entry.NewPlanFollower(entry.FollowerConfig{
		VM: cfg.VM, Region: cfg.Region, FailureDomain: cfg.FailureDomain, Address: cfg.Address, RPCAddress: cfg.RPCListener.Addr().String(),
		Controls: cfg.Controls, Security: cfg.Security, Clock: cfg.Clock, Log: cfg.Log,
		State: g.lifecycle.State, Load: func() float64 { return 0 }, OnChange: g.applyView, OnUpstreams: g.takeLeadersList,
	})
	g.rates = &rates{self: cfg.VM, region: cfg.Region, follower: g.follower, log: cfg.Log, unreachable: map[string]time.Time{}}
	var err error
	g.observer, err = newObserver(cfg.Meter, g)
	return g, errors.Annotate(err, "metrics")
}

// Run serves until the context ends, then stops without cutting a request.
func (g *Gateway) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { g.follower.Run(background) })
	wg.Go(func() { g.followList(background) })
	wg.Go(func() { g.maintain(background) })
	wg.Go(func() { g.serveRates(background) })
	failed := make(chan error, 1)
	wg.Go(func() { failed <- g.server.Serve(g.cfg.Listener) })
	select {
	case err := <-failed:
		return errors.Trace(err)
	case <-ctx.Done():
	}
	g.leave()
	return nil
}

// serveRates gives tokens of customers' rates to the other VMs of the region.
func (g *Gateway) serveRates(ctx context.Context) {
	mux := drpcmux.New()
	if err := apipb.DRPCRegisterRates(mux, &rateService{follower: g.follower}); err != nil {
		g.cfg.Log.WithError(err).Error("rates not offered to other VMs")
		return
	}
	server := transport.NewServer(g.cfg.Security, map[transport.Role]drpc.Handler{
		transport.RoleControl: mux, transport.RoleEntry: mux,
	}, g.cfg.Log)
	if err := server.Serve(ctx, g.cfg.RPCListener); err != nil {
		g.cfg.Log.WithError(err).Error("rates not offered to other VMs")
	}
}

// leave is the planned stop: out of the directory first, then as long as callers
// may hold an answer that names this VM, then until every request has ended.
func (g *Gateway) leave() {
	limit := time.Now().Add(g.cfg.ShutdownTimeout - stopMargin)
	if err := g.lifecycle.Leave(); err != nil {
		g.cfg.Log.WithError(err).Error("planned stop")
	}
	g.cfg.Log.Info("leaving")
	g.server.CloseAfterAnswers()
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	go func() {
		if err := g.follower.Announce(ctx); err != nil {
			g.cfg.Log.WithError(err).Warn("fleet not told that this VM leaves")
		}
	}()
	pause(ctx, acceptTime)
	g.server.StopAccepting()
	g.server.CloseIdle()
	for g.server.BusyConns() > 0 && ctx.Err() == nil {
		pause(ctx, stopCheck)
		g.server.CloseIdle()
	}
	g.server.CloseIdle()
	if err := g.follower.ReturnGrants(ctx); err != nil {
		g.cfg.Log.WithError(err).Info("grants not handed back; they end with their lease")
	}
	g.pool.Close()
	g.cfg.Log.WithField("busy", g.server.BusyConns()).Info("stopped")
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// SetControls replaces the addresses of control daemons of the settings.
func (g *Gateway) SetControls(addresses []string) { g.follower.SetControls(addresses) }

// Ready reports whether this VM takes callers: it knows a plan and upstreams, and
// is not leaving.
func (g *Gateway) Ready() bool { return g.lifecycle.State() == apipb.VmState_VM_STATE_SERVING }

// serveWhenReady ends the start once there is a plan and a list.
func (g *Gateway) serveWhenReady() {
	if g.lifecycle.State() != apipb.VmState_VM_STATE_STARTING || !g.listed || g.follower.View().Index == nil {
		return
	}
	if err := g.lifecycle.Serve(); err != nil {
		g.cfg.Log.WithError(err).Error("start")
		return
	}
	g.cfg.Log.Info("serving")
}

func (g *Gateway) place() placement.Location {
	return placement.Location{Region: g.cfg.Region, FailureDomain: g.cfg.FailureDomain, VM: g.cfg.VM}
}

// service returns what is kept of a service, or nil if the plan has none.
func (g *Gateway) service(name string) *service { return (*g.services.Load())[name] }

// applyView takes over a new plan: services, limits, evacuations and customers.
func (g *Gateway) applyView(view *entry.PlanView) {
	g.mu.Lock()
	defer g.mu.Unlock()
	limits := view.Index.Plan.Limits
	g.server.SetLimits(ingress.Limits{
		MaxHeaderBytes: limits.MaxHeaderBytes, MaxBodyBytes: limits.MaxBodyBytes,
		HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
	})
	services := make(map[string]*service, len(view.Index.Plan.Services))
	fresh := map[string]bool{}
	for _, s := range view.Index.Plan.Services {
		kept := g.service(s.Name)
		if kept == nil {
			kept = newService(s.Name, g.place(), g.pace, g.cfg.Retries)
			fresh[s.Name] = true
		}
		services[s.Name] = kept
		kept.turns.with(func(now time.Time, table *placement.Table) {
			table.SetWarmup(s.Warmup, s.WarmupRate)
			table.SetEvacuated(now, view.Evacuated)
		})
	}
	g.services.Store(&services)
	g.splitter.reset()
	g.rates.keepShares(view.Index.Plan.Customers)
	g.handOver(func(name string) bool { return fresh[name] })
}

// handOver gives the list to the tables. Upstreams that are new to a fresh table
// are not new themselves.
func (g *Gateway) handOver(fresh func(string) bool) {
	if !g.listed {
		return
	}
	byService := map[string][]inventory.Upstream{}
	for _, u := range g.list {
		byService[u.Service] = append(byService[u.Service], u)
	}
	vms, near := g.fleetNames()
	g.vms = vms
	for name, s := range *g.services.Load() {
		s.retries.SetVMs(len(vms))
		s.turns.with(func(now time.Time, table *placement.Table) {
			table.SetFleet(vms, near)
			for _, id := range table.SetUpstreams(now, byService[name], fresh(name)) {
				g.pool.CloseUpstream(id)
			}
			g.pace.SetInitialShares(table.InitialShares())
		})
	}
}

// fleetNames returns the entry VMs that are known, and how many of them are in the
// region of this one, itself included in both.
func (g *Gateway) fleetNames() (names []string, near int) {
	names, near = []string{g.cfg.VM}, 1
	for _, vm := range g.follower.Fleet() {
		if vm.Name == g.cfg.VM {
			continue
		}
		names = append(names, vm.Name)
		if vm.Region == g.cfg.Region {
			near++
		}
	}
	return names, near
}
