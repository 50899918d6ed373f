package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/consensus"
	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/grant"
	"pistachiomount.example/pistachiomount/inventory"
	"pistachiomount.example/pistachiomount/membership"
	"pistachiomount.example/pistachiomount/plan"
	"pistachiomount.example/pistachiomount/store"
)

// capsInterval is the shortest time between two comparisons of the caps with the
// document and the list of upstreams.
const capsInterval = 200 * time.Millisecond

// ownership holds the grants and the fleet lists of the term in which this daemon
// leads. In each new term they are rebuilt from the renewals of the holders.
type ownership struct {
	cfg *Config

	mu sync.Mutex
	// firstTerm is the first term of the cluster if this process formed it, or 0.
	// No earlier term can have issued grants. Before a later term, another daemon may
	// have led.
	firstTerm    uint64
	term         uint64
	environments map[apipb.Environment]*termState
}

// termState is the ownership of one environment during one term.
type termState struct {
	owner         *grant.Owner
	fleet         *membership.Fleet
	revision      uint64
	upstreams     []inventory.Upstream
	capsCheckedAt clock.Instant
	capsChecked   bool
	decoder       document.Decoder

	// services are the names of the plan's services. The map is replaced, never changed.
	services map[string]bool
	// list is the list of upstreams. It is empty unless this daemon reads it.
	list *inventory.VersionedList
	// compactList is the encoded list for VMs that need it whole.
	compactList compactList
	demands     *demands
	notices     *notices
	startedAt   clock.Instant
	// holdersMu guards removalProposed and lastCleanup. It is not held during calls.
	holdersMu sync.Mutex
	// removalProposed holds the incarnations of holders whose removal was proposed, by
	// VM.
	removalProposed map[string]uint64
	lastCleanup     clock.Instant
}

// setFirstTerm records the first term of a cluster that this process formed.
func (o *ownership) setFirstTerm(term uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.firstTerm = term
}

func newOwnership(cfg *Config) *ownership {
	return &ownership{cfg: cfg, environments: map[apipb.Environment]*termState{}}
}

// leadership is the state of the loop that a renewal depends on.
type leadership struct {
	// elected is set once this daemon won the election, before it may lead.
	elected bool
	term    uint64
	valid   bool
	leader  string
	version *store.Version
	// holder is the incarnation of the process of the VM that may hold grants, or 0.
	holder uint64
}

// leadership returns the state that a renewal of a VM depends on.
func (e *Engine) leadership(ctx context.Context, env apipb.Environment, vm string) (leadership, error) {
	var l leadership
	err := e.do(ctx, func() {
		status := e.node.Status()
		l.term = status.Term
		l.valid = status.Role == consensus.RoleLeader && status.LeaseValid && status.TermCommitted && e.appliedTerm == status.Term
		l.leader = e.leaderAddress()
		l.elected = status.Role == consensus.RoleLeader
		l.version = e.store.InForce(env)
		l.holder = e.store.Holder(vm)
	})
	return l, errors.Trace(err)
}

// holders returns the processes that may hold grants, as incarnations by VM.
func (e *Engine) holders(ctx context.Context) (map[string]uint64, error) {
	var holders map[string]uint64
	err := e.do(ctx, func() { holders = e.store.Holders() })
	return holders, errors.Trace(err)
}

// renew answers a renewal if this daemon leads, and otherwise names the leader.
func (o *ownership) renew(ctx context.Context, engine *Engine, request *apipb.RenewRequest) (*apipb.RenewReply, error) {
	l, err := engine.leadership(ctx, request.Environment, request.GetVm().GetName())
	if err != nil {
		return nil, errors.Trace(err)
	}
	if !l.valid || request.GetVm().GetName() == "" {
		return &apipb.RenewReply{NotLeader: true, LeaderAddress: l.leader, Term: l.term, Sequence: request.Sequence}, nil
	}
	t, err := o.termStateFor(ctx, engine, request.Environment, &l)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if t != nil && request.Environment == apipb.Environment_ENVIRONMENT_PLAN {
		if err := o.registerHolder(ctx, engine, t, &l, request.Vm); err != nil {
			return nil, errors.Trace(err)
		}
	}
	if t == nil {
		return &apipb.RenewReply{NotLeader: true, LeaderAddress: l.leader, Term: l.term, Sequence: request.Sequence}, nil
	}
	if err := t.fleet.Heartbeat(request.Vm); err != nil {
		return &apipb.RenewReply{Term: l.term, Sequence: request.Sequence, StaleIncarnation: true}, nil
	}
	reply := t.owner.Renew(request, true)
	if l.version != nil {
		reply.RevisionInForce = l.version.Revision
	}
	t.addFleet(reply, request.HaveFleetVersion)
	if request.WantsList {
		if err := t.addUpstreamList(reply, request, o.cfg.Clock.Now()); err != nil {
			return nil, errors.Trace(err)
		}
	}
	if len(request.Demands) > 0 {
		if err := t.demands.addTo(reply, request, o.cfg.Clock.Now()); err != nil {
			o.cfg.Log.WithError(err).WithField("vm", request.Vm.Name).Warn("ignored the demand that a VM reports")
		}
	}
	if request.WantsNotices {
		t.notices.addTo(reply, request, o.cfg.Clock.Now())
	}
	return reply, nil
}

// addFleet adds the fleet list: the changes since the caller's version, or the whole
// list if the changes are not known. An incomplete list is only sent to a caller
// without one, so that it does not replace the list of an earlier leader.
func (t *termState) addFleet(reply *apipb.RenewReply, have uint64) {
	t.fleet.Expire()
	if changes, version, ok := t.fleet.Changes(have); ok {
		reply.FleetVersion, reply.Fleet, reply.FleetChanges = version, changes, true
		return
	}
	reply.FleetVersion = have
	if have == 0 || t.fleet.Complete() {
		reply.Fleet, reply.FleetVersion = t.fleet.List()
	}
}

// termStateFor returns the state of the environment in the term, and creates it in a
// new term. It returns nil for a term that has ended.
func (o *ownership) termStateFor(ctx context.Context, engine *Engine, env apipb.Environment, l *leadership) (*termState, error) {
	var expected map[string]uint64
	if env == apipb.Environment_ENVIRONMENT_PLAN && !o.hasTermState(env, l.term) {
		var err error
		if expected, err = engine.holders(ctx); err != nil {
			return nil, errors.Trace(err)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if l.term < o.term {
		return nil, nil
	}
	if l.term > o.term {
		o.term = l.term
		o.environments = map[apipb.Environment]*termState{}
	}
	t := o.environments[env]
	if t == nil {
		t = o.newTermState(l.term, expected)
		o.environments[env] = t
	}
	o.refreshCaps(t, env, l.version)
	return t, nil
}

// hasTermState reports whether the state of the environment exists in this or a later term.
func (o *ownership) hasTermState(env apipb.Environment, term uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return term < o.term || term == o.term && o.environments[env] != nil
}

func (o *ownership) newTermState(term uint64, expected map[string]uint64) *termState {
	owner := grant.NewOwner(grant.OwnerConfig{
		ExpectedHolders: expected, SingleProcessPerVM: expected != nil,
		Term: term, Quarantine: o.cfg.Quarantine, NoPredecessor: term == o.firstTerm,
	}, o.cfg.Clock)
	return &termState{owner: owner, fleet: membership.NewFleet(term, o.cfg.Clock), startedAt: o.cfg.Clock.Now(), removalProposed: map[string]uint64{}, list: inventory.NewVersionedList(term<<32, o.cfg.Clock), demands: newDemands(), notices: newNotices()}
}

// refreshCaps updates the caps if the document or the list of upstreams changed.
func (o *ownership) refreshCaps(t *termState, env apipb.Environment, version *store.Version) {
	now := o.cfg.Clock.Now()
	if version == nil || t.capsChecked && t.revision == version.Revision && now.ElapsedSince(t.capsCheckedAt) < capsInterval {
		return
	}
	t.capsCheckedAt, t.capsChecked = now, true
	upstreams := o.upstreams(env)
	t.fleet.SetPlatformList(o.vms(env))
	if t.revision == version.Revision && slices.Equal(t.upstreams, upstreams) {
		return
	}
	caps, err := t.caps(env, version, upstreams)
	if err != nil {
		o.cfg.Log.WithError(err).Error("cannot decode the document in force")
		return
	}
	t.revision, t.upstreams = version.Revision, upstreams
	t.owner.SetCaps(caps)
}

func (t *termState) caps(env apipb.Environment, version *store.Version, upstreams []inventory.Upstream) ([]grant.Cap, error) {
	if env == apipb.Environment_ENVIRONMENT_PLAN {
		p, err := plan.DecodeWithoutRoutes(version.Raw)
		if err != nil {
			return nil, errors.Trace(err)
		}
		t.services = map[string]bool{}
		for _, s := range p.Services {
			t.services[s.Name] = true
		}
		return capsOfPlan(p), nil
	}
	doc, _, err := t.decoder.Decode(version.Raw)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return capsOfDocument(doc, upstreams), nil
}

func (o *ownership) upstreams(env apipb.Environment) []inventory.Upstream {
	lists, ok := o.cfg.Platforms[env]
	if !ok {
		return nil
	}
	return lists.Upstreams()
}

// vms returns the platform's list of VMs, which supplements the heartbeats.
func (o *ownership) vms(env apipb.Environment) []membership.PlatformVM {
	lists, ok := o.cfg.Platforms[env]
	if !ok {
		return nil
	}
	var vms []membership.PlatformVM
	for _, vm := range lists.VMs() {
		vms = append(vms, membership.PlatformVM{Name: vm.Name, Leaving: vm.State == inventory.Leaving})
	}
	return vms
}

// fleet returns the entry VMs of the environment, or nil if this daemon does not lead
// in the term.
func (o *ownership) fleet(term uint64, env apipb.Environment) []*apipb.Vm {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.environments[env]
	if term != o.term || t == nil {
		return nil
	}
	t.fleet.Expire()
	return t.fleet.Heartbeats()
}
