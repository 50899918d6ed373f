package placement

import (
	"time"

	"pistachiomount.example/pistachiomount/gateway/pace"
)

const (
	// openingSpread is the time over which the VMs send their first requests to an upstream of a region with
	// fewer slots than there are VMs, and over which they return after a timeout to one with fewer. It is
	// the bound of the return after a pause.
	openingSpread = maxResumeSpread
	// silentTimeoutWeight is the weight of a timeout at the smallest window in the average of failures if
	// the upstream has not responded at all: three in a row count as failing. One request at a time takes
	// too long for the five that are needed otherwise. With two, VMs that others keep from being served at
	// the start of a deployment take the upstream for failed.
	silentTimeoutWeight = 0.25
)

// unheardSlots is how many times the slots of an upstream the VMs of its region fill together before they have had a
// response from it.
const unheardSlots = 1

// paced is the pace of an upstream at this VM.
type paced struct {
	*pace.Window
	// mayUseCold is set if this VM is one of those that use the upstream while it is cold.
	mayUseCold bool
}

// beginPace starts to pace an upstream with one request in flight. A pause stays in force.
func (t *Table) beginPace(now time.Time, u *upstream, reason pace.Reason) {
	if t.unpaced || u.paused(now) {
		return
	}
	t.endPace(now, u)
	t.setPace(u, pace.Begin(now, reason, t.paceShare(u, 1)))
}

// assumedCold is how long an upstream of unknown age is treated as cold. It has started before.
func (t *Table) assumedCold() time.Duration {
	if t.unpaced && t.warmup > 0 {
		return t.warmup + coldMargin
	}
	return t.warmup
}

// maxEjection is the longest time until an ejected upstream is probed.
func (t *Table) maxEjection() time.Duration {
	if t.unpaced {
		return unpacedMaxEjection
	}
	return maxEjection
}

// beginUnheard starts to pace an upstream that this VM has had no response from. All VMs may do so at
// once, so they start with an equal part of its slots. A VM without others starts with all of them.
func (t *Table) beginUnheard(now time.Time, u *upstream) {
	if t.unpaced {
		return
	}
	t.setPace(u, pace.Begin(now, pace.Unheard, t.paceShare(u, t.unheardStart(u))))
}

func (t *Table) setPace(u *upstream, w *pace.Window) {
	u.paced = &paced{Window: w, mayUseCold: t.mayUseCold(u)}
}

// resizePaces follows a change of the fleet or of the list.
func (t *Table) resizePaces() {
	t.regionSlots = map[string]int{}
	for _, u := range t.upstreams {
		t.regionSlots[u.Region] += max(u.Slots, 1)
	}
	for _, u := range t.upstreams {
		if u.paced == nil || u.paced.Reason() == pace.Paused {
			continue
		}
		u.paced.mayUseCold = t.mayUseCold(u)
		start := 1.0
		if u.paced.Reason() == pace.Unheard {
			start = t.unheardStart(u)
		}
		u.paced.Resize(t.paceShare(u, start))
	}
}

// paceShare returns what this VM may start with at an upstream.
func (t *Table) paceShare(u *upstream, start float64) pace.Share {
	spread := openingSpread * time.Duration(t.openingRank(u)) / time.Duration(max(len(t.vms), 1))
	share := pace.Share{Slots: u.Slots, Start: start, Floor: t.equalPart(u), Rest: spread}
	if t.regionSlots[u.Region] < len(t.vms) { // else one request of each VM fits in the region, as objects spread them
		share.Delay = spread
	}
	return share
}

// equalPart is the part of an upstream's slots for each VM of the fleet; without other VMs, what an
// upstream may receive at most.
func (t *Table) equalPart(u *upstream) float64 {
	if len(t.vms) <= 1 {
		return float64(max(u.Slots, 1)) + queueAllowances[0]
	}
	return float64(u.Slots) / float64(len(t.vms))
}

// unheardStart is what this VM starts with at an upstream that it has had no response from. The VMs of its region, which
// send it most of its requests, fill its slots once and its queue as far: less leaves objects without their
// warm upstream while nothing is known.
func (t *Table) unheardStart(u *upstream) float64 {
	near := 0
	for _, vm := range t.vms {
		if vm.Region == u.Region {
			near++
		}
	}
	if near <= 1 {
		return t.equalPart(u)
	}
	return unheardSlots * float64(u.Slots) / float64(near)
}

// openingRank is the rank of this VM among those that use an upstream: those of its region come first.
func (t *Table) openingRank(u *upstream) int {
	rank := 0
	mine := u.score(hashOf(t.self.VM))
	for _, vm := range t.vms {
		near, higher := vm.Region == u.Region, u.score(hashOf(vm.Name)) > mine
		if vm.Name != t.self.VM && (near && !u.local || near == u.local && higher) {
			rank++
		}
	}
	return rank
}

// fitsPace reports whether a request of this VM fits in the pace of a paced upstream.
func (t *Table) fitsPace(now time.Time, u *upstream) bool {
	if u.cold(now) && !(u.paced.mayUseCold && t.hasColdToken(now, u)) {
		return false
	}
	return u.paced.Admits(now, u.inFlight)
}

// countSent updates the pace of an upstream with a request that is sent.
func (t *Table) countSent(now time.Time, u *upstream) {
	if u.paced == nil {
		return
	}
	if !u.paced.Used() {
		t.addPaceChange(PaceChange{Upstream: u.ID, Reason: u.paced.Reason()})
	}
	u.paced.Sent(u.inFlight)
}

// recordPace updates the pace of an upstream with an outcome. It returns the weight of the outcome in the
// average of failures: none for a timeout that this VM has caused.
func (t *Table) recordPace(now time.Time, u *upstream, o Outcome) (weight float64) {
	if u.paced == nil || u.paused(now) {
		return averageWeight
	}
	result := paceResult(o)
	overload := u.paced.Record(now, u.inFlight, result)
	t.countCalm(now, u, result)
	switch {
	case u.paced == nil:
	case overload:
		return 0
	case o.TimedOut && !u.paced.Responded():
		return silentTimeoutWeight
	case u.paced.Complete() && !u.cold(now):
		t.endPace(now, u)
	}
	return averageWeight
}

// countCalm ends the pacing of unheard upstreams of a region after as many responses in time as one has slots: the
// VMs don't fill the region. A VM among many hears from each upstream only every few seconds.
func (t *Table) countCalm(now time.Time, u *upstream, r pace.Result) {
	switch r {
	case pace.InTime:
	case pace.Neutral:
		return
	default:
		t.calm[u.Region] = 0
		return
	}
	if t.calm[u.Region]++; t.calm[u.Region] < u.Slots {
		return
	}
	for _, other := range t.upstreams {
		if p := other.paced; other.Region == u.Region && p != nil && p.Reason() == pace.Unheard && !p.Shrunk() {
			t.endPace(now, other)
		}
	}
}

// endPace drops the pace of an upstream, but not a pause.
func (t *Table) endPace(now time.Time, u *upstream) {
	if u.paced == nil || u.paused(now) {
		return
	}
	if u.paced.Used() {
		t.addPaceChange(PaceChange{Upstream: u.ID, Reason: u.paced.Reason(), Ended: true, Took: now.Sub(u.paced.Began()), Complete: u.paced.Complete()})
	}
	u.paced = nil
}

func paceResult(o Outcome) pace.Result {
	switch {
	case o.TimedOut:
		return pace.TimedOut
	case o.Failed || o.Endless || o.Unreachable || o.Unconnected:
		return pace.Failed
	case o.RejectedWithFreeSlots():
		return pace.Neutral // its rejection rate accounts for it
	case o.Rejected || o.AddressReassigned:
		return pace.Rejected
	}
	return pace.Judge(o.usualLatencyRatio(), o.Reported && o.Waiting > 0)
}

// PacedUpstreams returns the number of upstreams that are paced, without those that this VM has sent no
// request to since its start.
func (t *Table) PacedUpstreams() int {
	n := 0
	for _, u := range t.upstreams {
		if u.paced != nil && (u.paced.Reason() != pace.Unheard || u.paced.Used()) {
			n++
		}
	}
	return n
}

// isDisplaced reports whether the pace of all upstreams that cache an object leaves no room for a request. The
// next upstream for the object may then take it below half of its slots.
func (t *Table) isDisplaced(now time.Time, holders *cacheHolders) bool {
	first := holders.first(t.self)
	for _, holder := range first {
		if holder.paced == nil || t.fitsPace(now, holder.upstream) {
			return false
		}
	}
	return len(first) > 0
}

// pausedFull reports whether an upstream pauses, or its window after a pause is full.
func (u *upstream) pausedFull(now time.Time) bool {
	return u.paced.Reason() == pace.Paused && !u.paced.Admits(now, u.inFlight)
}
