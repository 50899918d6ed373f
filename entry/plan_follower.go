package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/announce"
	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/continuity"
	"pistachiomount.example/pistachiomount/demand"
	"pistachiomount.example/pistachiomount/grant"
	"pistachiomount.example/pistachiomount/inventory"
	"pistachiomount.example/pistachiomount/transport"
)

// FollowerConfig holds the configuration of a PlanFollower.
type FollowerConfig struct {
	VM, Region, FailureDomain string
	// Address is the address for callers, RPCAddress the one for other entry VMs.
	Address, RPCAddress string
	// Controls holds the initial RPC addresses of control daemons; others are learned.
	Controls []string
	Security *transport.Security
	Clock    clock.Clock
	Log      logrus.FieldLogger
	// State returns the state of this VM for the fleet list.
	State func() apipb.VmState
	// Load returns the load of this VM, from 0 to 1.
	Load func() float64
	// OnChange is called with each new view before View returns it.
	OnChange func(*PlanView)
	// OnUpstreams is called with the list of upstreams as read by the leader, whether it
	// has changed, and how long ago the leader read it.
	OnUpstreams func(list []inventory.Upstream, changed bool, age time.Duration)
	// Demand returns what this VM's callers ask of each service, and OnDemand is called with what
	// those of all VMs ask, by region.
	Demand   func() []demand.Report
	OnDemand func(map[demand.Key]demand.Region)
	// Notices returns what upstreams announced to this VM, and OnNotices is called with what they
	// announced to any VM.
	Notices   func(now time.Time) []announce.Notice
	OnNotices func(now time.Time, notices []announce.Notice)
	// OnFleet is called when the list of entry VMs has changed; nil if that does not matter at once.
	OnFleet func()
	// OnCurrent is called when this VM may act on its view for the first time, and for the first time after a pause; nil
	// if that does not matter at once.
	OnCurrent func()
	// MaxViewAge is the age up to which a view is recent; entry.MaxViewAge if 0.
	MaxViewAge time.Duration
}

// PlanFollower synchronizes an entry VM with the control daemons: it follows the
// routing plan, renews grants, and receives the list of entry VMs.
type PlanFollower struct {
	cfg         FollowerConfig
	incarnation uint64
	monitor     *continuity.Monitor
	knowledge   *knowledge
	peers       *transport.Peers
	syncer      *planSyncer
	renewer     *renewer
	holder      *grant.Holder
	fleet       atomic.Pointer[[]*apipb.Vm]
}

// NewPlanFollower returns a PlanFollower; Run starts it.
func NewPlanFollower(cfg FollowerConfig) *PlanFollower {
	f := &PlanFollower{
		cfg: cfg, incarnation: uint64(time.Now().UnixNano()), peers: transport.NewPeers(cfg.Security),
	}
	if cfg.MaxViewAge <= 0 {
		cfg.MaxViewAge = MaxViewAge
	}
	f.monitor = continuity.New(cfg.Clock, f.logPause)
	f.knowledge = newKnowledge(f.monitor, cfg.Clock, cfg.MaxViewAge)
	controls := newControls(cfg.Controls, hashName(cfg.VM), peerDialer{peers: f.peers})
	f.holder = grant.NewHolder(grant.HolderConfig{
		Environment: apipb.Environment_ENVIRONMENT_PLAN, VM: cfg.VM, Incarnation: f.incarnation,
	}, cfg.Clock)
	f.syncer = &planSyncer{
		loop: pollLoop{controls: controls, log: cfg.Log, subject: "plan", knowledge: f.knowledge},
		vm:   cfg.VM, incarnation: f.incarnation, clock: cfg.Clock, onChange: cfg.OnChange, knowledge: f.knowledge,
		onCurrent: cfg.OnCurrent,
	}
	f.renewer = &renewer{
		controls: controls, holder: f.holder, log: cfg.Log, vmStatus: f.vmStatus, knowledge: f.knowledge,
		onRevision: f.syncer.confirmRevision,
		onFleet:    func(_ uint64, vms []*apipb.Vm) { f.setFleet(vms) },
		onRenewed:  func() {}, renewing: make(chan struct{}, 1),
		upstreams: &upstreamList{log: cfg.Log, onUpstreams: cfg.OnUpstreams},
		demands:   demandExchange{reports: cfg.Demand, onRegions: cfg.OnDemand},
		notices:   noticeExchange{notices: cfg.Notices, onNotices: cfg.OnNotices},
	}
	return f
}

// Run synchronizes with the control daemons until the context ends.
func (f *PlanFollower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.monitor.Watch(ctx) })
	wg.Go(func() { f.syncer.run(ctx) })
	wg.Go(func() { f.renewer.run(ctx) })
	wg.Wait()
	f.peers.Close()
}

// logPause logs a pause of the process, and how old its view was when it went on.
func (f *PlanFollower) logPause(length time.Duration) {
	view := f.View()
	age, _ := view.Age(f.cfg.Clock.Now())
	f.cfg.Log.WithFields(logrus.Fields{
		"paused_ms": length.Milliseconds(), "view_age_ms": age.Milliseconds(), "revision": view.Revision,
	}).Warn("process was paused")
}

// Paused returns how often this process was paused, and for how long in all.
func (f *PlanFollower) Paused() (count uint64, total time.Duration) { return f.monitor.Paused() }

// SetControls replaces the configured addresses of control daemons.
func (f *PlanFollower) SetControls(addresses []string) { f.syncer.loop.controls.setSeeds(addresses) }

// View returns the current view; its Index is nil before the first plan.
func (f *PlanFollower) View() *PlanView { return f.syncer.load() }

// Current reports whether this VM may act on its view and its lists. The number of the run of the process tells whether
// it was paused between two calls.
func (f *PlanFollower) Current() (run uint64, ok bool) {
	state := f.knowledge.state()
	return state.run, state.all()
}

// ViewIsCurrent reports whether this VM may act on its view, whatever it knows of its lists.
func (f *PlanFollower) ViewIsCurrent() bool { return f.knowledge.viewIsCurrent() }

// Await waits until this VM may act on its view and its lists, which takes a round trip after a pause and no time
// otherwise, and at most until the given time.
func (f *PlanFollower) Await(ctx context.Context, until time.Time) (run uint64, ok bool) {
	return f.knowledge.await(ctx, until)
}

// AwaitLists waits until this VM may act on its lists, which takes a round trip after a pause and no time otherwise.
func (f *PlanFollower) AwaitLists(ctx context.Context) { f.knowledge.awaitLists(ctx) }

// Holder returns the holder of this VM's grants.
func (f *PlanFollower) Holder() *grant.Holder { return f.holder }

// Peers returns the connections to other daemons.
func (f *PlanFollower) Peers() *transport.Peers { return f.peers }

func (f *PlanFollower) setFleet(vms []*apipb.Vm) {
	f.fleet.Store(&vms)
	if f.cfg.OnFleet != nil {
		f.cfg.OnFleet()
	}
}

// Fleet returns the entry VMs from the last renewal. The slice must not be modified.
func (f *PlanFollower) Fleet() []*apipb.Vm {
	if vms := f.fleet.Load(); vms != nil {
		return *vms
	}
	return nil
}

// ConnectedFor returns how long the leader has accepted all renewals, 0 while they fail.
func (f *PlanFollower) ConnectedFor() time.Duration { return f.renewer.connectedFor() }

// Announce reports a changed state of this VM to the leader at once.
func (f *PlanFollower) Announce(ctx context.Context) error { return f.renewer.renewWithRetry(ctx) }

// ReturnGrants returns all grants to the leader at a planned stop.
func (f *PlanFollower) ReturnGrants(ctx context.Context) error {
	f.holder.Stop()
	return f.renewer.renewWithRetry(ctx)
}

func (f *PlanFollower) vmStatus() *apipb.Vm {
	view := f.syncer.load()
	age, _ := view.Age(f.cfg.Clock.Now())
	return &apipb.Vm{
		Name: f.cfg.VM, Incarnation: f.incarnation, Address: f.cfg.Address, RpcAddress: f.cfg.RPCAddress, Region: f.cfg.Region,
		FailureDomain: f.cfg.FailureDomain, State: f.cfg.State(), RevisionInForce: view.Revision,
		ViewAgeMs: uint32(age.Milliseconds()), Load: f.cfg.Load(),
	}
}
