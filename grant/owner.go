package grant

import (
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
	swept   clock.Instant
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
	o.sweep(now)
	m := o.receive(req, reply)
	if m == nil {
		return reply
	}
	o.settle(m, req, now)
	reply.LeaseMs = uint32(o.cfg.Lease / time.Millisecond)
	reply.Shares = o.issue(m, req, now)
	m.sequence, m.received = req.GetSequence(), now
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
	}
	m.live, m.handingBack = true, req.GetHandingBack()
	return m
}

// settle updates the ledger to what the holder reports as held.
func (o *Owner) settle(m *member, req *apipb.RenewRequest, now clock.Instant) {
	facts := reportFacts{
		acknowledged: req.GetAcceptedTerm() == o.cfg.Term && req.GetAcceptedSequence() == m.sequence,
		trusted:      o.waiting(now) && req.GetAcceptedTerm() < o.cfg.Term,
		sequence:     req.GetSequence(),
		quarantined:  func(h *holding) bool { return !passed(now, h.quarantinedAt, withMargin(o.cfg.Quarantine)) },
	}
	for _, need := range req.GetNeeds() {
		if h := o.holdingOf(m, need); h != nil && h.sequence != facts.sequence {
			h.settle(need, facts)
		}
	}
	// A report is complete: what it omits is not held any more.
	for i := len(m.order) - 1; i >= 0; i-- {
		if h := m.order[i]; h.sequence != facts.sequence {
			m.remove(h)
		}
	}
}

func (o *Owner) holdingOf(m *member, need *apipb.Need) *holding {
	id := ResourceID(need.GetResource())
	if h := m.holdings[id]; h != nil {
		if h.pool.cap.Kind != need.GetKind() {
			return nil
		}
		return h
	}
	p := o.pools[id]
	if p == nil || p.cap.Kind != need.GetKind() {
		return nil
	}
	return m.add(p)
}

// issue decides the shares of all needs.
func (o *Owner) issue(m *member, req *apipb.RenewRequest, now clock.Instant) []*apipb.Share {
	waiting := o.waiting(now)
	rows := make([]apipb.Share, len(req.GetNeeds()))
	shares := make([]*apipb.Share, len(rows))
	for i, need := range req.GetNeeds() {
		share := &rows[i]
		share.Resource, share.Kind = need.GetResource(), need.GetKind()
		shares[i] = share
		h := m.holdings[ResourceID(need.GetResource())]
		if h == nil || h.pool.cap.Kind != need.GetKind() {
			continue
		}
		next := o.next(h, now, waiting)
		h.change(func() { h.issued = next })
		share.Rate, share.Depth, share.Units = next.rate, next.depth, next.units
	}
	return shares
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
