package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/grant"
	"pistachiomount.example/pistachiomount/inventory"
	"pistachiomount.example/pistachiomount/transport"
)

// FollowerConfig holds what a PlanFollower is made from.
type FollowerConfig struct {
	VM, Region, FailureDomain string
	// Address is where callers reach this VM, RPCAddress where other entry VMs do.
	Address, RPCAddress string
	// Controls are the RPC addresses of control daemons to start from.
	Controls []string
	Security *transport.Security
	Clock    clock.Clock
	Log      logrus.FieldLogger
	// State tells the state of this VM for the fleet list.
	State func() apipb.VmState
	// Load tells how busy this VM is, from 0 to 1.
	Load func() float64
	// OnChange is called with each new view, before it is in force elsewhere.
	OnChange func(*PlanView)
	// OnUpstreams is called with the list of upstreams that the leader reads, whether it
	// has changed, and how long ago the leader asked for it.
	OnUpstreams func(list []inventory.Upstream, changed bool, age time.Duration)
}

// PlanFollower keeps an entry VM in touch with the control daemons: it follows
// the routing plan, renews grants, and takes in the list of entry VMs.
type PlanFollower struct {
	cfg         FollowerConfig
	incarnation uint64
	peers       *transport.Peers
	keeper      *planKeeper
	renewer     *renewer
	holder      *grant.Holder
	fleet       atomic.Pointer[[]*apipb.Vm]
}

// NewPlanFollower returns a follower that Run starts.
func NewPlanFollower(cfg FollowerConfig) *PlanFollower {
	f := &PlanFollower{
		cfg: cfg, incarnation: uint64(time.Now().UnixNano()), peers: transport.NewPeers(cfg.Security),
	}
	controls := newControls(cfg.Controls, hashOf(cfg.VM), peerDialer{peers: f.peers})
	f.holder = grant.NewHolder(grant.HolderConfig{
		Environment: apipb.Environment_ENVIRONMENT_PLAN, VM: cfg.VM, Incarnation: f.incarnation,
	}, cfg.Clock)
	f.keeper = &planKeeper{
		loop: pollLoop{controls: controls, log: cfg.Log, subject: "plan"},
		vm:   cfg.VM, incarnation: f.incarnation, clock: cfg.Clock, onChange: cfg.OnChange,
	}
	f.renewer = &renewer{
		controls: controls, holder: f.holder, log: cfg.Log, describe: f.describe,
		onFleet:   func(_ uint64, vms []*apipb.Vm) { f.fleet.Store(&vms) },
		onRenewed: func() {}, turn: make(chan struct{}, 1),
		list: &upstreamList{log: cfg.Log, onList: cfg.OnUpstreams},
	}
	return f
}

// Run follows the control daemons until the context ends.
func (f *PlanFollower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.keeper.run(ctx) })
	wg.Go(func() { f.renewer.run(ctx) })
	wg.Wait()
	f.peers.Close()
}

// SetControls replaces the addresses of control daemons of the settings.
func (f *PlanFollower) SetControls(addresses []string) { f.keeper.loop.controls.setSeeds(addresses) }

// View returns the current view; before the first plan its Index is nil.
func (f *PlanFollower) View() *PlanView { return f.keeper.load() }

// Holder holds the grants of this VM.
func (f *PlanFollower) Holder() *grant.Holder { return f.holder }

// Peers makes calls to other daemons.
func (f *PlanFollower) Peers() *transport.Peers { return f.peers }

// Fleet returns the entry VMs as last heard from the leader. It must not be changed.
func (f *PlanFollower) Fleet() []*apipb.Vm {
	if vms := f.fleet.Load(); vms != nil {
		return *vms
	}
	return nil
}

// Announce tells the fleet at once of a changed state of this VM.
func (f *PlanFollower) Announce(ctx context.Context) error { return f.renewer.insist(ctx) }

// ReturnGrants returns all grants for a planned stop.
func (f *PlanFollower) ReturnGrants(ctx context.Context) error {
	f.holder.Stop()
	return f.renewer.insist(ctx)
}

func (f *PlanFollower) describe() *apipb.Vm {
	view := f.keeper.load()
	age, _ := view.Age(f.cfg.Clock.Now())
	return &apipb.Vm{
		Name: f.cfg.VM, Incarnation: f.incarnation, Address: f.cfg.Address, RpcAddress: f.cfg.RPCAddress, Region: f.cfg.Region,
		FailureDomain: f.cfg.FailureDomain, State: f.cfg.State(), RevisionInForce: view.Revision,
		ViewAgeMs: uint32(age.Milliseconds()), Load: f.cfg.Load(),
	}
}
