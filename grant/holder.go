package grant

import (
	"slices"
	"sync"
	"time"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

// HolderConfig identifies the entry daemon.
type HolderConfig struct {
	Environment apipb.Environment
	VM          string
	// Incarnation is higher for each later process of the same VM.
	Incarnation uint64
	// Weight scales the part of this VM where demand exceeds a cap; 0 means 1.
	Weight float64
}

// Holder keeps the grants of one entry daemon. It is safe for concurrent use.
type Holder struct {
	cfg   HolderConfig
	clock clock.Clock

	// mu is held before the locks of buckets and units.
	mu               sync.RWMutex
	buckets          map[ResourceID]*Bucket
	units            map[ResourceID]*Units
	order            []ResourceID // registration order, so that requests are alike
	sequence         uint64       // of the most recent request
	sentAt           clock.Instant
	answered         bool
	refused          bool   // the most recent request was sent to a daemon that is not the owner
	term             uint64 // highest term seen
	acceptedSequence uint64
	acceptedTerm     uint64
	stopped          bool

	subleases    []*sublease // of a Region
	entries      []entry     // of the most recent request
	layoutNumber uint64      // of the list of entries
}

// NewHolder returns a holder without grants.
func NewHolder(cfg HolderConfig, c clock.Clock) *Holder {
	return &Holder{
		cfg: cfg, clock: c,
		buckets: map[ResourceID]*Bucket{},
		units:   map[ResourceID]*Units{},

		layoutNumber: 1,
	}
}

// Bucket returns the bucket of a rate, which takes part in renewals from the
// first call on. Callers on the request path keep the pointer.
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
		b.closed = h.stopped
		h.buckets[id] = b
		h.register(id)
	}
	return b
}

// Units returns the units of a resource, which take part in renewals from the
// first call on. Callers on the request path keep the pointer.
func (h *Holder) Units(id ResourceID) *Units {
	h.mu.RLock()
	u := h.units[id]
	h.mu.RUnlock()
	if u != nil && !u.isClosed() {
		return u
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if u = h.units[id]; u == nil {
		u = newUnits(h.clock, id)
		h.units[id] = u
		h.register(id)
	}
	u.setClosed(h.stopped)
	return u
}

func (h *Holder) register(id ResourceID) {
	if !slices.Contains(h.order, id) {
		h.order = append(h.order, id)
	}
}

// Remove hands the grants of a resource back with the next renewal. Nothing can be
// taken through pointers obtained before. Units stay reported until the last one
// in use is released.
func (h *Holder) Remove(id ResourceID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if b := h.buckets[id]; b != nil {
		b.handBack()
		delete(h.buckets, id)
	}
	if u := h.units[id]; u != nil {
		u.handBack()
	}
	h.prune(id)
}

// prune drops a resource of which nothing remains to be reported.
func (h *Holder) prune(id ResourceID) {
	if u := h.units[id]; u != nil && u.isClosed() && u.idle() {
		delete(h.units, id)
	}
	if h.units[id] == nil && h.buckets[id] == nil {
		h.order = slices.DeleteFunc(h.order, func(o ResourceID) bool { return o == id })
	}
}

// Stop hands everything back for a planned stop: nothing can be taken any more
// and the next request reports nothing as held. Units in use are reported until
// they are released.
func (h *Holder) Stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	for _, b := range h.buckets {
		b.handBack()
	}
	for _, u := range h.units {
		u.handBack()
	}
}

// NeedsRenewal reports whether a renewal is due: each RenewInterval, or after
// retryInterval without a reply, or after
// MinRenewInterval if demand jumped, a bucket ran low, units were refused or a
// decrease that others wait for is to be acknowledged.
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
	case h.refused || !h.answered && since >= retryInterval:
		return true
	}
	return h.anyWantsRenewal(now)
}

func (h *Holder) anyWantsRenewal(now clock.Instant) bool {
	for _, id := range h.order {
		if b := h.buckets[id]; b != nil && b.wantsRenewal(now) {
			return true
		}
		if u := h.units[id]; u != nil && u.wantsRenewal(now) {
			return true
		}
	}
	return slices.ContainsFunc(h.subleases, func(s *sublease) bool { return s.wantsRenewal(now) })
}

// BuildRequest returns the next renewal. The lease of its reply counts from this
// call, and replies to earlier requests are no longer accepted.
func (h *Holder) BuildRequest() *apipb.RenewRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	follows := h.answered && h.acceptedSequence == h.sequence
	h.sequence++
	h.sentAt, h.answered, h.refused = now, false, false
	for _, id := range slices.Clone(h.order) {
		h.prune(id)
	}
	req := &apipb.RenewRequest{
		Environment: h.cfg.Environment,
		Vm:          &apipb.Vm{Name: h.cfg.VM, Incarnation: h.cfg.Incarnation},
		Sequence:    h.sequence, AcceptedSequence: h.acceptedSequence,
		AcceptedTerm: h.acceptedTerm, HandingBack: h.stopped, Weight: h.cfg.Weight,
	}
	h.describe(req, now, follows)
	return req
}

// describe fills in the columns. The request is brief if it follows an accepted
// reply to the same list; whether the owner is that of the reply, it checks itself.
func (h *Holder) describe(req *apipb.RenewRequest, now clock.Instant, follows bool) {
	brief := h.lineUp() && follows
	req.LayoutNumber = h.layoutNumber
	if !brief {
		req.Layout = h.layoutNames()
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

// Accept puts the shares of a reply in force. It rejects replies that do not
// answer the most recent request, come from a lower term, or arrive after their
// lease has ended; the grants in force then stay as they are.
func (h *Holder) Accept(reply *apipb.RenewReply) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	if err := h.check(reply); err != nil {
		h.refused = h.refused || err == ErrNotLeader || err == ErrFullRequestNeeded
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
	h.acceptedSequence, h.acceptedTerm = reply.GetSequence(), reply.GetTerm()
	for i := range h.entries {
		e := &h.entries[i]
		e.granted = shares[i]
		e.apply(now, e.granted, leaseEnd, newOwner)
	}
	return nil
}

func (h *Holder) check(reply *apipb.RenewReply) error {
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
