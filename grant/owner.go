package grant

import (
	"maps"
	"sync"
	"time"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

// OwnerConfig configures an Owner for one term.
type OwnerConfig struct {
	// Term is the consensus term in which this daemon was elected.
	Term uint64
	// Lease is the validity of grants; 0 means DefaultLease. All owners of a deployment must
	// use the same value.
	Lease time.Duration
	// Quarantine is how long units of a lost holder are not granted to others: the longest
	// route deadline, because an upstream may run requests until then.
	Quarantine time.Duration
	// ExpectedHolders maps the VMs that may hold grants of earlier terms to the incarnations of
	// their processes; nil if they are not known. The grace period ends early once all of
	// them, or later processes of their VMs, have reported.
	ExpectedHolders map[string]uint64
	// SingleProcessPerVM says that a VM runs one process at a time, so that a request of a later
	// process shows that the earlier one holds nothing any more.
	SingleProcessPerVM bool
	// NoPredecessor says that no earlier term can have issued grants, as in a deployment that
	// was just initialised. There is no grace period then.
	NoPredecessor bool
}

// Owner is the ledger of all grants during one term. It is created after its daemon won the
// election and is safe for concurrent use.
type Owner struct {
	cfg     OwnerConfig
	clock   clock.Clock
	elected clock.Instant

	mu         sync.Mutex
	capsSet    bool
	pools      map[ResourceID]*pool
	members    map[memberKey]*member
	memberList []*member
	latest     map[string]uint64 // highest incarnation in members by VM
	// pendingVMs contains the expected VMs that have not reported in this term.
	pendingVMs map[string]uint64
	idle       idleTime
	sweptAt    clock.Instant
	reports    []report // of the current request

	// regional is set for a regional owner. Its own lease begins when leaseStarted is set and
	// ends at leaseEnd. leaseEnded then stays set, also if a clock is set back.
	regional, leaseStarted, leaseEnded bool
	leaseEnd                           clock.Instant
}

// NewOwner returns the owner for a term that begins now.
func NewOwner(cfg OwnerConfig, c clock.Clock) *Owner {
	if cfg.Lease <= 0 {
		cfg.Lease = DefaultLease
	}
	now := c.Now()
	return &Owner{
		cfg: cfg, clock: c, elected: now, sweptAt: now, idle: idleTime{since: now},
		pools:      map[ResourceID]*pool{},
		members:    map[memberKey]*member{},
		latest:     map[string]uint64{},
		pendingVMs: maps.Clone(cfg.ExpectedHolders),
	}
}

// SetCaps replaces all caps. Grants above a reduced or removed cap are reduced with the next
// renewals and count until the reduction is acknowledged. A cap that changes the kind of a
// resource is ignored while grants of it exist.
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
		if len(p.holdings) == 0 && o.predecessorRequestsEnded(now) {
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

// Renew answers one renewal request. It changes nothing unless the leader lease of the caller
// was valid after the request was received, which leaderLeaseValid tells.
func (o *Owner) Renew(req *apipb.RenewRequest, leaderLeaseValid bool) *apipb.RenewReply {
	reply := &apipb.RenewReply{Term: o.cfg.Term, Sequence: req.GetSequence()}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !leaderLeaseValid || !o.capsSet || req.GetAcceptedTerm() > o.cfg.Term {
		reply.NotLeader = true
		return reply
	}
	now := o.clock.Now()
	lease := o.remainingLease(now)
	if lease <= 0 {
		reply.NotLeader = true
		return reply
	}
	o.sweep(now)
	m := o.findOrAddMember(req, reply)
	if m == nil {
		return reply
	}
	o.recordReports(m, req, now)
	reply.LeaseMs = uint32(lease / time.Millisecond)
	o.issueShares(m, reply, now)
	m.sequence, m.receivedAt = req.GetSequence(), now
	if m.key.incarnation >= o.pendingVMs[m.key.vm] {
		delete(o.pendingVMs, m.key.vm)
	}
	return reply
}

// findOrAddMember returns the sender of a request and adds it if it is new. It returns nil for
// a request that must not be processed and sets the reason in the reply.
func (o *Owner) findOrAddMember(req *apipb.RenewRequest, reply *apipb.RenewReply) *member {
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
		o.memberList = append(o.memberList, m)
		o.latest[key.vm] = key.incarnation
		o.releaseEarlierProcesses(key)
		if former, expected := o.cfg.ExpectedHolders[key.vm]; expected && o.cfg.SingleProcessPerVM {
			age := time.Duration(min(req.GetProcessAgeMs(), maxProcessAgeMS)) * time.Millisecond
			o.idle.addProcess(key.incarnation, former, age, o.clock.Now())
		}
	}
	if !o.decodeReports(m, req) {
		reply.FullRequestNeeded = true
		return nil
	}
	m.live, m.stopping, m.region = true, req.GetHandingBack(), req.GetVm().GetRegion()
	m.setRetiring(req.GetRetiring())
	return m
}

// releaseEarlierProcesses releases the rates of earlier processes of a VM that runs one process
// at a time. Their units stay counted, because upstreams may still run their requests.
func (o *Owner) releaseEarlierProcesses(key memberKey) {
	if !o.cfg.SingleProcessPerVM {
		return
	}
	for _, m := range o.memberList {
		if m.key.vm != key.vm || m.key.incarnation >= key.incarnation {
			continue
		}
		for i := len(m.holdingList) - 1; i >= 0; i-- {
			if m.holdingList[i].pool.isRate() {
				m.remove(m.holdingList[i])
			}
		}
	}
}

// decodeReports decodes the reports of a request into o.reports. It returns false if the request
// is malformed, or if it is brief and does not follow the last reply of this owner.
func (o *Owner) decodeReports(m *member, req *apipb.RenewRequest) (ok bool) {
	switch {
	case req.GetLayoutNumber() == 0:
		return false
	case req.GetLayout() != nil:
		m.layout.update(req)
	case req.GetLayoutNumber() != m.layout.number || !o.lastReplyAccepted(m, req):
		return false
	}
	if o.reports, ok = readReports(req, &m.layout, o.reports[:0]); !ok {
		m.layout.number = 0 // the next request must be full
	}
	return ok
}

// lastReplyAccepted reports whether the holder accepted the last reply of this owner to it.
func (o *Owner) lastReplyAccepted(m *member, req *apipb.RenewRequest) bool {
	return req.GetAcceptedTerm() == o.cfg.Term && req.GetAcceptedSequence() == m.sequence
}

// recordReports updates the ledger to what the holder reports as held.
func (o *Owner) recordReports(m *member, req *apipb.RenewRequest, now clock.Instant) {
	context := reportContext{
		trusted:     o.inGracePeriod(now) && req.GetAcceptedTerm() < o.cfg.Term,
		sequence:    req.GetSequence(),
		weight:      sanitizeAmount(req.GetWeight()),
		quarantined: func(h *holding) bool { return !hasElapsed(now, h.quarantinedAt, withDriftMargin(o.cfg.Quarantine)) },
	}
	for i := range m.layout.positions {
		if h := o.findOrAddHolding(m, &m.layout.positions[i]); h != nil && h.sequence != context.sequence {
			h.recordReport(o.reports[i], context)
		}
	}
	// A request lists all that is held: a holding that it omits has been released.
	for i := len(m.holdingList) - 1; i >= 0; i-- {
		if h := m.holdingList[i]; h.sequence != context.sequence {
			m.remove(h)
		}
	}
}

// findOrAddHolding returns the holding of a position and adds it if it is new. It returns nil
// for a resource without a cap of this kind.
func (o *Owner) findOrAddHolding(m *member, at *position) *holding {
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

// issueShares decides the share of each position, records it as issued and writes it to the reply.
func (o *Owner) issueShares(m *member, reply *apipb.RenewReply, now clock.Instant) {
	gracePeriod := o.inGracePeriod(now)
	reply.ConfirmsOnly = gracePeriod
	var idle time.Duration
	if !gracePeriod && len(o.pendingVMs) == 0 {
		idle = o.idle.length(now)
	}
	for i := range m.layout.positions {
		at := &m.layout.positions[i]
		var next portion
		if h := at.holding; h != nil {
			if idle > 0 {
				h.pool.addIdleTokens(idle)
			}
			next = o.nextPortion(h, now, gracePeriod)
			next.rate, next.depth = roundDown(next.rate), roundDown(next.depth)
			h.update(func() { h.issued = next })
			if !gracePeriod && h.pool.isRate() && next.rate < h.target.rate*(1-rateDeadband) {
				reply.PartialRates = append(reply.PartialRates, uint32(i))
			}
		}
		at.granted = next
		writeShare(reply, at.kind, o.reports[i].held, next)
	}
	if idle > 0 {
		o.grantIdleTime(m, reply, idle)
	}
}

func (o *Owner) nextPortion(h *holding, now clock.Instant, gracePeriod bool) portion {
	switch {
	case h.member.stopping:
		return portion{}
	case gracePeriod:
		return h.pool.reconfirm(h)
	}
	o.quarantineUnreported(h.pool, now)
	h.pool.planIfDue(now)
	return h.pool.nextPortion(h, now)
}
