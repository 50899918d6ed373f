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
	"pistachiomount.example/pistachiomount/store"
)

// capsInterval bounds how often the caps are compared with the document and the
// list of upstreams.
const capsInterval = 200 * time.Millisecond

// ownership holds the grants and the fleet lists of the term in which this
// daemon leads. It is rebuilt from the renewals of each new term.
type ownership struct {
	cfg *Config

	mu sync.Mutex
	// firstTerm is the first term of the cluster if this process formed it, or 0.
	// No earlier term can have issued grants; before any later one, another
	// daemon may have led.
	firstTerm uint64
	term      uint64
	tenures   map[apipb.Environment]*tenure
}

// tenure is the ownership of one environment during one term.
type tenure struct {
	owner     *grant.Owner
	fleet     *membership.Fleet
	revision  uint64
	upstreams []inventory.Upstream
	checked   clock.Instant
	checkedOK bool
	decoder   document.Decoder

	// list is the list of upstreams, if this daemon reads it.
	list  *inventory.VersionedList
	began clock.Instant
	// holdersMu guards leaving, and is held for no call.
	holdersMu sync.Mutex
	// leaving are the processes whose removal from the holders was proposed.
	leaving map[string]uint64
	tidied  clock.Instant
}

// setFirstTerm notes the first term of a cluster that this process formed.
func (o *ownership) setFirstTerm(term uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.firstTerm = term
}

func newOwnership(cfg *Config) *ownership {
	return &ownership{cfg: cfg, tenures: map[apipb.Environment]*tenure{}}
}

// leadership is what the loop knows when a renewal arrives.
type leadership struct {
	term    uint64
	valid   bool
	leader  string
	version *store.Version
	// holders are the processes that may hold grants; read for plans only.
	holders map[string]uint64
}

func (e *Engine) leadership(ctx context.Context, env apipb.Environment) (leadership, error) {
	var l leadership
	err := e.do(ctx, func() {
		status := e.node.Status()
		l.term = status.Term
		l.valid = status.Role == consensus.RoleLeader && status.LeaseValid && status.TermCommitted && e.appliedTerm == status.Term
		l.leader = e.leaderAddress()
		l.version = e.store.InForce(env)
		if env == apipb.Environment_ENVIRONMENT_PLAN {
			l.holders = e.store.Holders()
		}
	})
	return l, errors.Trace(err)
}

// renew answers a renewal if this daemon leads, and otherwise names the leader.
func (o *ownership) renew(ctx context.Context, engine *Engine, request *apipb.RenewRequest) (*apipb.RenewReply, error) {
	l, err := engine.leadership(ctx, request.Environment)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if !l.valid || request.GetVm().GetName() == "" {
		return &apipb.RenewReply{NotLeader: true, LeaderAddress: l.leader, Term: l.term, Sequence: request.Sequence}, nil
	}
	t := o.tenure(request.Environment, &l)
	if t != nil && request.Environment == apipb.Environment_ENVIRONMENT_PLAN {
		if err := o.admitHolder(ctx, engine, t, &l, request.Vm); err != nil {
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
	t.addFleet(reply, request.HaveFleetVersion)
	if request.WantsList {
		t.addList(reply, request.HaveListVersion)
	}
	return reply, nil
}

// addFleet adds what the caller lacks of the fleet list: the changes since its
// version, or the whole list if the caller lacks it. A list that is not
// complete yet must not replace one of an earlier leader.
func (t *tenure) addFleet(reply *apipb.RenewReply, have uint64) {
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

// tenure returns the ownership of the term, begun anew if the term is. A term
// below the current one has ended.
func (o *ownership) tenure(env apipb.Environment, l *leadership) *tenure {
	o.mu.Lock()
	defer o.mu.Unlock()
	if l.term < o.term {
		return nil
	}
	if l.term > o.term {
		o.term = l.term
		o.tenures = map[apipb.Environment]*tenure{}
	}
	t := o.tenures[env]
	if t == nil {
		t = o.begin(l.term, l.holders)
		o.tenures[env] = t
	}
	o.refreshCaps(t, env, l.version)
	return t
}

func (o *ownership) begin(term uint64, expected map[string]uint64) *tenure {
	owner := grant.NewOwner(grant.OwnerConfig{
		ExpectedHolders: expected, SingleProcessPerVM: expected != nil,
		Term: term, Quarantine: o.cfg.Quarantine, NoPredecessor: term == o.firstTerm,
	}, o.cfg.Clock)
	return &tenure{owner: owner, fleet: membership.NewFleet(term, o.cfg.Clock), began: o.cfg.Clock.Now(), leaving: map[string]uint64{}, list: inventory.NewVersionedList(term<<32, o.cfg.Clock)}
}

// refreshCaps sets the caps when the document or the list of upstreams changed.
func (o *ownership) refreshCaps(t *tenure, env apipb.Environment, version *store.Version) {
	now := o.cfg.Clock.Now()
	if version == nil || t.checkedOK && t.revision == version.Revision && now.ElapsedSince(t.checked) < capsInterval {
		return
	}
	t.checked, t.checkedOK = now, true
	upstreams := o.upstreams(env)
	t.fleet.SetPlatformList(o.vms(env))
	if t.revision == version.Revision && slices.Equal(t.upstreams, upstreams) {
		return
	}
	caps, err := t.caps(env, version, upstreams)
	if err != nil {
		o.cfg.Log.WithError(err).Error("the document in force cannot be decoded")
		return
	}
	t.revision, t.upstreams = version.Revision, upstreams
	t.owner.SetCaps(caps)
}

func (t *tenure) caps(env apipb.Environment, version *store.Version, upstreams []inventory.Upstream) ([]grant.Cap, error) {
	if env == apipb.Environment_ENVIRONMENT_PLAN {
		return capsOfPlan(version.Raw)
	}
	doc, _, err := t.decoder.Decode(version.Raw)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return capsOf(doc, upstreams), nil
}

func (o *ownership) upstreams(env apipb.Environment) []inventory.Upstream {
	lists, ok := o.cfg.Platforms[env]
	if !ok {
		return nil
	}
	return lists.Upstreams()
}

// vms returns the platform's list of VMs, a hint beside the heartbeats.
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

// fleet returns the entry VMs of the environment, if this daemon leads.
func (o *ownership) fleet(term uint64, env apipb.Environment) []*apipb.Vm {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.tenures[env]
	if term != o.term || t == nil {
		return nil
	}
	t.fleet.Expire()
	return t.fleet.Heartbeats()
}
