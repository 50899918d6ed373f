package grant

import (
	"slices"
	"sync"
	"time"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

// HolderConfig identifies the process that holds grants.
type HolderConfig struct {
	Environment apipb.Environment
	VM          string
	// Incarnation increases with each new process of the same VM.
	Incarnation uint64
	// Weight scales the share of this VM while demand exceeds a cap; 0 means 1.
	Weight float64
}

// Holder keeps the grants of one process and builds the renewals for them. It is safe for
// concurrent use.
type Holder struct {
	cfg       HolderConfig
	clock     clock.Clock
	createdAt clock.Instant

	// mu is held before the locks of buckets and units.
	mu               sync.RWMutex
	buckets          map[ResourceID]*Bucket
	units            map[ResourceID]*Units
	registered       []ResourceID // in registration order, which keeps the layout of requests stable
	sequence         uint64       // of the most recent request
	sentAt           clock.Instant
	answered         bool
	rejected         bool   // the owner did not process the most recent request; another one is due soon
	term             uint64 // highest term seen
	acceptedSequence uint64
	acceptedTerm     uint64
	retiring         bool
	stopped          bool

	subleases    []*sublease // of a RegionalOwner
	entries      []entry     // of the most recent request
	layoutNumber uint64      // identifies the list of entries on the wire
}

// NewHolder returns a holder without grants.
func NewHolder(cfg HolderConfig, c clock.Clock) *Holder {
	return &Holder{
		cfg: cfg, clock: c, createdAt: c.Now(),
		buckets: map[ResourceID]*Bucket{},
		units:   map[ResourceID]*Units{},

		layoutNumber: 1,
	}
}

// Bucket returns the bucket of a rate and, on the first call, registers it for renewals.
// Callers on the request path keep the pointer.
func (h *Holder) Bucket(id ResourceID) *Bucket {
	h.mu.RLock()
	b := h.buckets[id]
	h.mu.RUnlock()
	if b != nil {
		return b
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if b = h.buckets[id]; b == nil {
		b = newBucket(h.clock, id)
		b.stopped = h.stopped
		h.buckets[id] = b
		h.register(id)
	}
	return b
}

// Units returns the units of a resource and, on the first call, registers them for renewals.
// Callers on the request path keep the pointer.
func (h *Holder) Units(id ResourceID) *Units {
	h.mu.RLock()
	u := h.units[id]
	h.mu.RUnlock()
	if u != nil && !u.isStopped() {
		return u
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if u = h.units[id]; u == nil {
		u = newUnits(h.clock, id)
		h.units[id] = u
		h.register(id)
	}
	u.setStopped(h.stopped)
	return u
}

func (h *Holder) register(id ResourceID) {
	if !slices.Contains(h.registered, id) {
		h.registered = append(h.registered, id)
	}
}

// Remove releases the grants of a resource with the next renewal. Pointers obtained before can
// no longer take anything. Units are reported until the last one in use is released.
func (h *Holder) Remove(id ResourceID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if b := h.buckets[id]; b != nil {
		b.stop()
		delete(h.buckets, id)
	}
	if u := h.units[id]; u != nil {
		u.stop()
	}
	h.prune(id)
}

// prune unregisters a resource that has nothing left to report.
func (h *Holder) prune(id ResourceID) {
	if u := h.units[id]; u != nil && u.isStopped() && u.idle() {
		delete(h.units, id)
	}
	if h.units[id] == nil && h.buckets[id] == nil {
		h.registered = slices.DeleteFunc(h.registered, func(o ResourceID) bool { return o == id })
	}
}

// Retire makes the next requests announce a planned stop: the owner prepares the holders that
// callers move to. What is held stays in force.
func (h *Holder) Retire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retiring = true
}

// Stop releases all grants for a planned shutdown: nothing can be taken any more and the next
// request reports nothing as held. Units in use are reported until they are released.
func (h *Holder) Stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	for _, b := range h.buckets {
		b.stop()
	}
	for _, u := range h.units {
		u.stop()
	}
}

// NeedsRenewal reports whether a renewal is due: after RenewInterval, after replyTimeout
// without a reply, or already after MinRenewInterval if the owner rejected the last request,
// demand jumped, a bucket ran low, units were rejected, or other holders wait for a decrease
// to be acknowledged.
func (h *Holder) NeedsRenewal() bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	now := h.clock.Now()
	since := now.ElapsedSince(h.sentAt)
	switch {
	case h.sequence == 0 || since >= RenewInterval:
		return true
	case since < MinRenewInterval:
		return false
	case h.rejected || !h.answered && since >= replyTimeout:
		return true
	}
	return h.anyWantsRenewal(now)
}

func (h *Holder) anyWantsRenewal(now clock.Instant) bool {
	for _, id := range h.registered {
		if b := h.buckets[id]; b != nil && b.wantsRenewal(now) {
			return true
		}
		if u := h.units[id]; u != nil && u.wantsRenewal(now) {
			return true
		}
	}
	return slices.ContainsFunc(h.subleases, func(s *sublease) bool { return s.wantsRenewal(now) })
}

// BuildRequest returns the next renewal request. The lease in its reply counts from this call,
// and replies to earlier requests are no longer accepted.
func (h *Holder) BuildRequest() *apipb.RenewRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	followsAccepted := h.answered && h.acceptedSequence == h.sequence
	h.sequence++
	h.sentAt, h.answered, h.rejected = now, false, false
	for _, id := range slices.Clone(h.registered) {
		h.prune(id)
	}
	req := &apipb.RenewRequest{
		Environment: h.cfg.Environment,
		Vm:          &apipb.Vm{Name: h.cfg.VM, Incarnation: h.cfg.Incarnation},
		Sequence:    h.sequence, AcceptedSequence: h.acceptedSequence,
		AcceptedTerm: h.acceptedTerm, HandingBack: h.stopped, Retiring: h.retiring, Weight: h.cfg.Weight,
		ProcessAgeMs: uint64(minElapsed(now, h.createdAt).Milliseconds()),
	}
	h.writeReports(req, now, followsAccepted)
	return req
}

// writeReports fills in the columns of a request. The request is brief, without resource names, if
// it follows an accepted reply to the same list of resources. The owner checks whether that
// reply was its own.
func (h *Holder) writeReports(req *apipb.RenewRequest, now clock.Instant, follows bool) {
	brief := h.updateEntries() && follows
	req.LayoutNumber = h.layoutNumber
	if !brief {
		req.Layout = h.layoutMessage()
	}
	for i := range h.entries {
		e := &h.entries[i]
		if !brief {
			e.granted = portion{}
		}
		r := e.report(now)
		e.held = r.held
		writeReport(req, e.kind(), r, e.granted)
	}
}

// Accept puts the shares of a reply in force. It rejects replies that do not answer the most
// recent request, come from an earlier term, or arrive after their lease has ended; the grants
// in force then stay unchanged.
func (h *Holder) Accept(reply *apipb.RenewReply) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	if err := h.validateReply(reply); err != nil {
		h.rejected = h.rejected || err == ErrNotLeader || err == ErrFullRequestNeeded
		return err
	}
	shares, ok := readShares(reply, h.entries)
	if !ok {
		return ErrMalformedReply
	}
	h.answered, h.term = true, reply.GetTerm()
	leaseEnd := h.sentAt.Add(time.Duration(reply.GetLeaseMs()) * time.Millisecond)
	if !now.Before(leaseEnd) {
		return ErrLeaseExpired
	}
	newOwner := reply.GetTerm() != h.acceptedTerm
	idle := time.Duration(reply.GetIdleMs()) * time.Millisecond
	h.acceptedSequence, h.acceptedTerm = reply.GetSequence(), reply.GetTerm()
	for i := range h.entries {
		e := &h.entries[i]
		e.granted = shares[i]
		e.apply(now, e.granted, leaseEnd, newOwner)
		b, ok := e.leasedResource.(*Bucket)
		if !ok {
			continue
		}
		b.setPartial(reply.GetConfirmsOnly() || slices.Contains(reply.GetPartialRates(), uint32(i)))
		if idle > 0 && e.held.rate == 0 {
			b.addIdleTokens(idle)
		}
	}
	return nil
}

func (h *Holder) validateReply(reply *apipb.RenewReply) error {
	switch {
	case reply.GetSequence() != h.sequence || h.answered || reply.GetStaleSequence():
		return ErrOutdatedReply
	case reply.GetTerm() < h.term:
		return ErrLowerTerm
	case reply.GetNotLeader():
		return ErrNotLeader
	case reply.GetStaleIncarnation():
		return ErrStaleIncarnation
	case reply.GetFullRequestNeeded():
		return ErrFullRequestNeeded
	}
	return nil
}
