package grant

import (
	"maps"
	"sync"
	"time"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

// OwnerConfig describes one term of ownership.
type OwnerConfig struct {
	// Term is the consensus term in which this daemon was elected.
	Term uint64
	// Lease is the validity of grants; 0 means DefaultLease. It is equal for
	// all owners of an installation.
	Lease time.Duration
	// Quarantine is how long units of a lost holder stay unused: the longest
	// route deadline, since an upstream may run requests until then.
	Quarantine time.Duration
	// ExpectedHolders are the processes that may hold grants of earlier terms, as
	// incarnations by VM; nil if that is not known. Once all of them, or later
	// processes of their VMs, have reported, the wait after election is over.
	ExpectedHolders map[string]uint64
	// SingleProcessPerVM says that a VM runs one process at a time, so that a later one
	// shows that the one before holds nothing any more.
	SingleProcessPerVM bool
	// NoPredecessor says that no earlier term can have issued grants, as in an
	// installation that was just initialised. It skips the wait after election.
	NoPredecessor bool
}

// Owner is the ledger of all grants during one term. It is created after the
// election was won and is safe for concurrent use.
type Owner struct {
	cfg     OwnerConfig
	clock   clock.Clock
	elected clock.Instant

	mu      sync.Mutex
	capsSet bool
	pools   map[ResourceID]*pool
	members map[memberKey]*member
	order   []*member
	latest  map[string]uint64 // highest incarnation of each VM in members
	// missing are the expected VMs that have not reported in this term.
	missing map[string]uint64
	swept   clock.Instant
	reports []report // of the current request

	// leased is set for a regional owner. Its own lease ends at leaseEnd, once
	// granted is set, and ended stays set after that on any clock.
	leased, granted, ended bool
	leaseEnd               clock.Instant
}

// NewOwner returns the owner of a term that begins now.
func NewOwner(cfg OwnerConfig, c clock.Clock) *Owner {
	if cfg.Lease <= 0 {
		cfg.Lease = DefaultLease
	}
	now := c.Now()
	return &Owner{
		cfg: cfg, clock: c, elected: now, swept: now,
		pools:   map[ResourceID]*pool{},
		members: map[memberKey]*member{},
		latest:  map[string]uint64{},
		missing: maps.Clone(cfg.ExpectedHolders),
	}
}

// SetCaps replaces the caps. Grants above a cap that shrank or vanished are
// reduced with the next renewals and count until that is acknowledged. The kind
// of a resource is fixed; a cap that changes it is ignored while grants exist.
func (o *Owner) SetCaps(caps []Cap) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.capsSet = true
	listed := make(map[ResourceID]bool, len(caps))
	for _, c := range caps {
		listed[c.Resource] = true
		o.setCap(c)
	}
	now := o.clock.Now()
	for id, p := range o.pools {
		if listed[id] {
			continue
		}
		p.setCap(Cap{Resource: id, Kind: p.cap.Kind})
		if len(p.holdings) == 0 && o.predecessorGone(now) {
			delete(o.pools, id)
		}
	}
}

func (o *Owner) setCap(c Cap) {
	p := o.pools[c.Resource]
	if p == nil || p.cap.Kind != c.Kind && len(p.holdings) == 0 {
		p = &pool{cap: Cap{Resource: c.Resource, Kind: c.Kind}}
		o.pools[c.Resource] = p
	}
	if p.cap.Kind == c.Kind {
		p.setCap(c)
	}
}

// Renew answers one renewal. It does nothing unless the caller's leader lease is
// valid; the lease is checked after the request was received.
func (o *Owner) Renew(req *apipb.RenewRequest, leaderLeaseValid bool) *apipb.RenewReply {
	reply := &apipb.RenewReply{Term: o.cfg.Term, Sequence: req.GetSequence()}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !leaderLeaseValid || !o.capsSet || req.GetAcceptedTerm() > o.cfg.Term {
		reply.NotLeader = true
		return reply
	}
	now := o.clock.Now()
	lease := o.leaseLeft(now)
	if lease <= 0 {
		reply.NotLeader = true
		return reply
	}
	o.sweep(now)
	m := o.receive(req, reply)
	if m == nil {
		return reply
	}
	o.settle(m, req, now)
	reply.LeaseMs = uint32(lease / time.Millisecond)
	o.issue(m, reply, now)
	m.sequence, m.received = req.GetSequence(), now
	if m.key.incarnation >= o.missing[m.key.vm] {
		delete(o.missing, m.key.vm)
	}
	return reply
}

// receive finds or adds the sender. It returns nil for a request that must not
// be processed and marks the reply accordingly.
func (o *Owner) receive(req *apipb.RenewRequest, reply *apipb.RenewReply) *member {
	key := memberKey{vm: req.GetVm().GetName(), incarnation: req.GetVm().GetIncarnation()}
	if key.incarnation < o.latest[key.vm] {
		reply.StaleIncarnation = true
		return nil
	}
	m := o.members[key]
	if m != nil && req.GetSequence() <= m.sequence {
		reply.StaleSequence = true
		return nil
	}
	if m == nil {
		m = &member{key: key, holdings: map[ResourceID]*holding{}}
		o.members[key] = m
		o.order = append(o.order, m)
		o.latest[key.vm] = key.incarnation
		o.dropEarlier(key)
	}
	if !o.read(m, req) {
		reply.FullRequestNeeded = true
		return nil
	}
	m.live, m.handingBack = true, req.GetHandingBack()
	return m
}

// dropEarlier frees the rates of earlier processes of a VM that runs one at a time.
// Units stay counted, because upstreams may still run their requests.
func (o *Owner) dropEarlier(key memberKey) {
	if !o.cfg.SingleProcessPerVM {
		return
	}
	for _, m := range o.order {
		if m.key.vm != key.vm || m.key.incarnation >= key.incarnation {
			continue
		}
		for i := len(m.order) - 1; i >= 0; i-- {
			if m.order[i].pool.rates() {
				m.remove(m.order[i])
			}
		}
	}
}

// read decodes the reports. It returns false if the request is malformed, or brief
// and does not follow the last reply of this owner.
func (o *Owner) read(m *member, req *apipb.RenewRequest) (ok bool) {
	switch {
	case req.GetLayoutNumber() == 0:
		return false
	case req.GetLayout() != nil:
		m.layout.learn(req)
	case req.GetLayoutNumber() != m.layout.number || !o.acknowledged(m, req):
		return false
	}
	if o.reports, ok = readReports(req, &m.layout, o.reports[:0]); !ok {
		m.layout.number = 0 // what was granted is not known here any more
	}
	return ok
}

// acknowledged reports whether the last reply is in force at the holder.
func (o *Owner) acknowledged(m *member, req *apipb.RenewRequest) bool {
	return req.GetAcceptedTerm() == o.cfg.Term && req.GetAcceptedSequence() == m.sequence
}

// settle updates the ledger to what the holder reports as held.
func (o *Owner) settle(m *member, req *apipb.RenewRequest, now clock.Instant) {
	facts := reportFacts{
		trusted:     o.waiting(now) && req.GetAcceptedTerm() < o.cfg.Term,
		sequence:    req.GetSequence(),
		weight:      amount(req.GetWeight()),
		quarantined: func(h *holding) bool { return !passed(now, h.quarantinedAt, withMargin(o.cfg.Quarantine)) },
	}
	for i := range m.layout.positions {
		if h := o.holdingAt(m, &m.layout.positions[i]); h != nil && h.sequence != facts.sequence {
			h.settle(o.reports[i], facts)
		}
	}
	// A report is complete: what it omits is not held any more.
	for i := len(m.order) - 1; i >= 0; i-- {
		if h := m.order[i]; h.sequence != facts.sequence {
			m.remove(h)
		}
	}
}

// holdingAt finds or adds the holding of a position. It returns nil for a
// resource without a cap of this kind.
func (o *Owner) holdingAt(m *member, at *position) *holding {
	if at.holding == nil || at.holding.removed {
		at.holding = m.holdings[at.id]
		if p := o.pools[at.id]; at.holding == nil && p != nil && p.cap.Kind == at.kind {
			at.holding = m.add(p)
		}
		if at.holding == nil || at.holding.pool.cap.Kind != at.kind {
			at.holding = nil
			return nil
		}
		at.id = at.holding.pool.cap.Resource // one copy of the name for all members
	}
	return at.holding
}

// issue decides the shares of all positions.
func (o *Owner) issue(m *member, reply *apipb.RenewReply, now clock.Instant) {
	waiting := o.waiting(now)
	for i := range m.layout.positions {
		at := &m.layout.positions[i]
		var next portion
		if h := at.holding; h != nil {
			next = o.next(h, now, waiting)
			next.rate, next.depth = roundDown(next.rate), roundDown(next.depth)
			h.change(func() { h.issued = next })
		}
		at.granted = next
		writeShare(reply, at.kind, o.reports[i].held, next)
	}
}

func (o *Owner) next(h *holding, now clock.Instant, waiting bool) portion {
	switch {
	case h.member.handingBack:
		return portion{}
	case waiting:
		return h.pool.reconfirm(h)
	}
	o.settlePredecessor(h.pool, now)
	h.pool.planIfDue(now)
	return h.pool.next(h, now)
}
