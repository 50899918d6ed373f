package entry

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alexedwards/flow"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/continuity"
	"pistachiomount.example/pistachiomount/forward"
	"pistachiomount.example/pistachiomount/forward/pool"
	"pistachiomount.example/pistachiomount/forward/reject"
	"pistachiomount.example/pistachiomount/grant"
	"pistachiomount.example/pistachiomount/headlimit"
	"pistachiomount.example/pistachiomount/inventory"
	"pistachiomount.example/pistachiomount/membership"
	"pistachiomount.example/pistachiomount/steering"
	"pistachiomount.example/pistachiomount/telemetry"
	"pistachiomount.example/pistachiomount/transport"
)

// Timeouts and limits of the listeners, and poll periods.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 90 * time.Second
	stopTimeout    = 45 * time.Second // above the longest route deadline
	platformPeriod = time.Second
	// probePeriod allows for one lost report before a load report counts as too old, at
	// 5 s. Each upstream costs two requests per period.
	probePeriod = 2 * time.Second
)

// Daemon is an entry daemon.
type Daemon struct {
	cfg         Config
	incarnation uint64
	monitor     *continuity.Monitor
	knowledge   *knowledge
	peers       *transport.Peers
	controls    *controls
	syncer      *viewSyncer
	holder      *grant.Holder
	grants      *grants
	renewer     *renewer
	steerer     *steering.Steerer
	chooser     *chooser
	queue       *permitQueue
	commands    *commands
	pool        *pool.Set
	forwarder   *forward.Handler
	lookups     *lookups
	lifecycle   *membership.Lifecycle
	probe       *inventory.LoadProbe
	jobs        *jobRunner

	mu            sync.Mutex // guards upstreams and listed, and passing them to steering
	upstreams     []inventory.Upstream
	listed        map[string]bool // IDs of the upstreams passed to steering
	inFlight      atomic.Int64
	pendingProbes cowMap[string, *steering.Target] // upstream ID to target whose next probe decides whether it returns to use
	startRenewals int                              // renewals accepted while starting; used by the renewer only
}

// New returns a Daemon; Run starts it.
func New(cfg Config) (*Daemon, error) {
	d := &Daemon{
		cfg: cfg,
		// The wall clock orders the starts of one VM. Two starts within the same nanosecond
		// cannot happen.
		incarnation: uint64(cfg.Clock.Now().Wall),
		peers:       transport.NewPeers(cfg.Security),
		steerer:     steering.New(cfg.Clock, nil),
		lifecycle:   membership.NewLifecycle(cfg.Clock),
	}
	d.monitor = continuity.New(cfg.Clock, d.logPause)
	d.knowledge = newKnowledge(d.monitor, cfg.Clock, MaxViewAge)
	d.controls = newControls(cfg.Controls, hashName(cfg.VM), peerDialer{d.peers, cfg.Tracer})
	d.commands = &commands{controls: d.controls}
	d.holder = grant.NewHolder(grant.HolderConfig{
		Environment: cfg.Environment, VM: cfg.VM, Incarnation: d.incarnation,
	}, cfg.Clock)
	d.grants = newGrants(d.holder)
	d.chooser = &chooser{steerer: d.steerer, grants: d.grants}
	d.queue = newPermitQueue(cfg.Clock, d.grants, d.customerWeight, d.chooser.countRequest)
	d.lookups = newLookups(cfg.Region)
	d.syncer = &viewSyncer{
		loop:        pollLoop{controls: d.controls, log: cfg.Log, subject: "configuration", knowledge: d.knowledge},
		environment: cfg.Environment, deployment: cfg.Deployment, vm: cfg.VM,
		incarnation: d.incarnation, clock: cfg.Clock, onChange: d.applyView, knowledge: d.knowledge,
	}
	d.renewer = &renewer{
		controls: d.controls, holder: d.holder, log: cfg.Log, vmStatus: d.vmStatus, onFleet: d.lookups.setFleet,
		onRenewed: d.serveWhenReady, renewing: make(chan struct{}, 1), knowledge: d.knowledge,
	}
	d.probe = inventory.NewLoadProbe(inventory.LoadProbeConfig{Clock: cfg.Clock, OnReport: d.handleLoadReport})
	d.pool = pool.NewSet(pool.Options{Permits: connGrants{d.grants}})
	observer, err := newObserver(cfg.Meter, d)
	if err != nil {
		return nil, errors.Trace(err)
	}
	d.forwarder = forward.New(forward.Config{
		Views: d, Admitter: admitter{d.grants}, Regions: regionGrants{d.grants}, Links: linkGrants{d.grants},
		Slots: slotGrants{d.grants}, Chooser: d.chooser, Queue: d.queue, Claims: d.commands, Jobs: d.commands,
		Observer: observer, Pool: d.pool, Tracer: cfg.Tracer, Holder: cfg.VM, Incarnation: d.incarnation,
		Environment: cfg.Environment,
	})
	d.jobs = &jobRunner{
		environment: cfg.Environment, holder: cfg.VM, commands: d.commands, log: cfg.Log,
		services: d.servicesForJobs, run: d.forwarder.RunJob, random: rand.Uint64,
		active: make(chan struct{}, 1),
	}
	return d, errors.Trace(registerGauges(cfg.Meter, d))
}

func hashName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return h.Sum64()
}

// Run serves until the context ends, then stops without interrupting requests.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.peers.Close()
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	for _, work := range []func(context.Context){
		d.monitor.Watch, d.syncer.run, d.renewer.run, d.runPlatform, d.runProbe, d.runTicks, d.jobs.loop,
	} {
		wg.Go(func() { work(background) })
	}
	admin := d.adminServer()
	callers := d.callerServer()
	failed := make(chan error, 2)
	wg.Go(func() { failed <- serve(admin, d.cfg.AdminListener) })
	wg.Go(func() { failed <- serve(callers, d.cfg.CallerListener) })
	select {
	case err := <-failed:
		_ = admin.Close()
		_ = callers.Close()
		return errors.Trace(err)
	case <-ctx.Done():
	}
	err := d.shutDown(callers)
	_ = admin.Close()
	return errors.Trace(err)
}

// logPause logs a pause of the process, and how old its view was when it went on.
func (d *Daemon) logPause(length time.Duration) {
	age, _ := d.syncer.load().age(d.cfg.Clock.Now())
	d.cfg.Log.WithFields(logrus.Fields{
		"paused_ms": length.Milliseconds(), "view_age_ms": age.Milliseconds(), "revision": d.syncer.load().revision,
	}).Warn("process was paused")
}

// shutDown lets the leader grant shares to the VMs that callers move to, announces to
// the fleet that this VM leaves, serves for as long as callers may cache an answer that
// names it, waits until every request has ended, and returns the grants.
func (d *Daemon) shutDown(callers *http.Server) error {
	d.holder.Retire()
	if err := d.renewer.renewWithRetry(context.Background()); err != nil {
		d.cfg.Log.WithError(err).Warn("failed to announce a planned stop: other VMs may lack grants")
	}
	time.Sleep(handoverTime)
	if err := d.lifecycle.Leave(); err != nil {
		return errors.Trace(err)
	}
	d.cfg.Ready.SetState("leaving", false)
	d.lookups.exclude(d.cfg.VM)
	if err := d.renewer.renewWithRetry(context.Background()); err != nil {
		d.cfg.Log.WithError(err).Warn("failed to announce that this VM is leaving")
	}
	d.cfg.Log.Info("leaving: waiting for lookup answers to expire")
	time.Sleep(LookupTTL + stopMargin)
	err := d.drainRequests(callers)
	d.holder.Stop()
	if stopErr := d.lifecycle.Stop(); err == nil {
		err = stopErr
	}
	if renewErr := d.renewer.renewWithRetry(context.Background()); renewErr != nil {
		d.cfg.Log.WithError(renewErr).Info("failed to return grants; they expire with their lease")
	}
	d.pool.CloseIdle()
	d.cfg.Log.Info("stopped")
	return errors.Trace(err)
}

// drainRequests waits for the requests and the job in progress.
func (d *Daemon) drainRequests(callers *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := callers.Shutdown(ctx)
	if jobErr := d.jobs.close(ctx); err == nil {
		err = jobErr
	}
	return errors.Trace(err)
}

func (d *Daemon) callerServer() *http.Server {
	mux := flow.New()
	mux.HandleFunc("/v1/lookup", d.serveLookup, http.MethodGet)
	mux.Handle("/...", d.rejectWhileStarting(d.forwarder))
	return &http.Server{
		Handler: d.countInFlight(mux), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: headlimit.MaxBytes,
		ErrorLog:       telemetry.ServerLog(d.cfg.Log),
		// OPTIONS * is rejected like any other unknown target.
		DisableGeneralOptionsHandler: true,
	}
}

// rejectWhileStarting rejects requests while the VM is starting. It may not know the
// routes yet and holds no grants, so any other rejection would be misleading.
func (d *Daemon) rejectWhileStarting(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.lifecycle.State() == apipb.VmState_VM_STATE_STARTING {
			reject.New(reject.ViewStale, "this VM is starting").WithRetryAfter(retryDelay).Write(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// countInFlight counts the requests in progress. While the VM leaves, it asks callers
// to close their connections.
func (d *Daemon) countInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.inFlight.Add(1)
		defer d.inFlight.Add(-1)
		if d.lifecycle.State() == apipb.VmState_VM_STATE_LEAVING {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (d *Daemon) adminServer() *http.Server {
	mux := flow.New()
	for path, handler := range d.cfg.AdminHandlers {
		mux.Handle(path, handler, http.MethodGet)
	}
	mux.HandleFunc("/v1/steering", d.serveSteering, http.MethodGet)
	return &http.Server{
		Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headlimit.MaxBytes,
		ErrorLog: telemetry.ServerLog(d.cfg.Log), DisableGeneralOptionsHandler: true,
	}
}

func (d *Daemon) customerWeight(name string) float64 {
	if c := d.syncer.load().index.Customer(name); c != nil {
		return c.Weight
	}
	return 1
}
