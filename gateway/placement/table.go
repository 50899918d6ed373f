package placement

import (
	"slices"
	"strings"
	"time"

	"pistachiomount.example/pistachiomount/demand"
	"pistachiomount.example/pistachiomount/gateway/pace"
	"pistachiomount.example/pistachiomount/inventory"
)

// Location identifies this VM.
type Location struct {
	Region, FailureDomain, VM string
}

// Table holds the upstreams of one service as seen by one entry VM. It is not safe for concurrent
// use.
type Table struct {
	self      Location
	byID      map[string]*upstream
	upstreams []*upstream // sorted by ID
	// evacuated holds the failure domains that receive no requests.
	evacuated map[string]bool
	warmup    time.Duration
	// warmupRate is the requests per second that a cold upstream accepts from all VMs together.
	warmupRate   float64
	shiftLimiter *ShiftLimiter
	objects      objectEstimator
	recorder     demand.Recorder
	// demand is what the callers of each region ask of the service, as merged from all VMs; empty
	// until it is known.
	demand map[string]demand.Region
	// homeShare is the share of objects that are assigned to upstreams of this region.
	homeShare float64
	// responseBytes is the moving average of the length of responses.
	responseBytes float64
	// cacheCandidates is the number of upstreams that objects are assigned to, by failure domain.
	cacheCandidates map[string]int
	// selfSufficient says which failure domains cache all objects by themselves.
	selfSufficient map[string]bool
	// lastSlots is the number of slots by region at the last update, to detect outages.
	lastSlots map[string]float64
	// vms are the entry VMs of the fleet, sorted by name.
	vms []VM
	// passedOverSlow counts the requests that were placed elsewhere because their object's upstream was slow.
	passedOverSlow uint64
	// regionVMs is how many of them are in the region of this VM, itself included.
	regionVMs int
	// regionSlots is the number of slots by region as listed.
	regionSlots map[string]int
	// calm counts the successive responses in time, without waiting requests, from upstreams of a region that
	// this VM paces.
	calm map[string]int
	// unpaced switches pacing off, for comparisons in tests.
	unpaced bool
	// paceChanges are the changes since they were last logged.
	paceChanges []PaceChange
}

// NewTable returns a table without upstreams. The shift limiter is shared by all tables of a VM.
func NewTable(self Location, shiftLimiter *ShiftLimiter) *Table {
	return &Table{self: self, byID: map[string]*upstream{}, shiftLimiter: shiftLimiter, selfSufficient: map[string]bool{}, calm: map[string]int{}, homeShare: 1}
}

// SetWarmup sets how long upstreams are cold and the rate of requests that they accept in that
// time.
func (t *Table) SetWarmup(warmup time.Duration, rate float64) { t.warmup, t.warmupRate = warmup, rate }

// SetFleet sets the entry VMs, which share the rates of cold and of limited upstreams. The list may
// lack this VM.
func (t *Table) SetFleet(vms []VM) {
	t.vms = slices.Clone(vms)
	self := VM{Name: t.self.VM, Region: t.self.Region}
	if !slices.Contains(t.vms, self) {
		t.vms = append(t.vms, self)
	}
	slices.SortFunc(t.vms, func(a, b VM) int { return strings.Compare(a.Name, b.Name) })
	t.regionVMs = 0
	for _, vm := range t.vms {
		if vm.Region == t.self.Region {
			t.regionVMs++
		}
	}
	t.resizePaces()
}

// SetEvacuated sets the failure domains that receive no requests. Upstreams of a domain whose
// evacuation ends are treated as cold, and paced.
func (t *Table) SetEvacuated(now time.Time, domains map[string]bool) {
	for _, u := range t.upstreams {
		if t.evacuated[u.FailureDomain] && !domains[u.FailureDomain] {
			t.beginPace(now, u, pace.Returned)
			t.markCold(now, u, t.assumedCold())
		}
	}
	t.evacuated = domains
	t.updateCapacity(now)
}

// SetUpstreams replaces the list and returns the IDs that were removed. initial says that traffic
// has not started, so that upstreams that are new to this VM are not treated as cold. All new ones are paced.
func (t *Table) SetUpstreams(now time.Time, list []inventory.Upstream, initial bool) (gone []string) {
	listed := make(map[string]bool, len(list))
	for _, entry := range list {
		listed[entry.ID] = true
		u := t.byID[entry.ID]
		if u == nil {
			u = newUpstream(entry)
			t.byID[entry.ID] = u
			t.assumeLoad(now, u)
			u.local = u.Region == t.self.Region
			if !initial {
				u.runSince = now
				t.beginPace(now, u, pace.Started)
			} else {
				t.beginUnheard(now, u)
			}
			if !initial && entry.Cold <= 0 {
				t.markCold(now, u, t.assumedCold())
			}
		}
		if u.listsNewRun(now, entry) {
			t.startRun(now, u)
		}
		u.Upstream = entry
		if entry.Cold > 0 {
			if !u.cold(now) {
				t.beginPace(now, u, pace.Started)
			}
			t.markCold(now, u, entry.Cold+coldMargin)
		}
	}
	for id := range t.byID {
		if !listed[id] {
			delete(t.byID, id)
			gone = append(gone, id)
		}
	}
	t.upstreams = t.upstreams[:0]
	for _, u := range t.byID {
		t.upstreams = append(t.upstreams, u)
	}
	slices.SortFunc(t.upstreams, func(a, b *upstream) int { return strings.Compare(a.ID, b.ID) })
	t.resizePaces()
	t.updateCapacity(now)
	return gone
}

// assumeLoad assumes that the other VMs of the region use their share of an upstream that has not
// reported its load to this VM. Otherwise, after all VMs have restarted, each of them would fill
// all slots, and the queues of the upstreams would be full for seconds.
func (t *Table) assumeLoad(now time.Time, u *upstream) {
	u.otherLoad = float64(u.Slots) * (1 - 1/float64(max(t.regionVMs, 1)))
	u.otherLoadAt = now
}

// Pick selects an upstream for a request and counts the request as in flight there.
func (t *Table) Pick(now time.Time, q *Query) (inventory.Upstream, Verdict) {
	t.recordDemand(now, q)
	best, verdict := t.best(now, q)
	if best == nil {
		return inventory.Upstream{}, verdict
	}
	best.inFlight++
	t.countSent(now, best)
	if len(q.Regions) == 0 {
		t.shiftLimiter.RecordPlacement(now, best.Region)
	}
	if best.cold(now) {
		best.coldTokens--
	}
	t.spendLimit(now, best)
	if q.slowHolder {
		t.passedOverSlow++
	}
	return best.Upstream, Placed
}

// best returns the best upstream with free capacity in the regions that the shift limiter allows.
// The region of the best upstream without that limit is recorded as the preferred one.
func (t *Table) best(now time.Time, q *Query) (*upstream, Verdict) {
	limited := len(q.Regions) == 0
	allowed := func(string) bool { return true }
	if limited {
		allowed = t.shiftLimiter.Allowed(now)
	}
	holders, found := t.cacheHoldersOf(now, q)
	q.displaced = found && t.isDisplaced(now, &holders)
	var best, unlimited *upstream
	verdict := NoUpstream
	if found {
		best, unlimited = t.bestHolder(now, q, &holders, allowed)
	}
	if best == nil {
		best, unlimited, verdict = t.rank(now, q, &holders, allowed)
	}
	q.slowHolder = best != nil && found && t.passesOverSlow(now, q, &holders, best)
	if unlimited != nil && limited && !q.preferenceRecorded {
		q.preferenceRecorded = true
		t.shiftLimiter.RecordPreference(unlimited.Region)
	}
	switch {
	case best != nil:
		return best, Placed
	case unlimited != nil:
		return nil, ShiftLimited
	}
	return nil, verdict
}

// rank returns the best upstream with free capacity in the allowed regions, the best one in any region,
// and why there is none.
func (t *Table) rank(now time.Time, q *Query, holders *cacheHolders, allowed func(string) bool) (best, unlimited *upstream, verdict Verdict) {
	var bestKey, unlimitedKey sortKey
	var accepting acceptingUpstreams
	verdict = NoUpstream
	for _, u := range t.upstreams {
		if !t.eligible(now, u, q) {
			if verdict == NoUpstream && u.paused(now) && t.eligibleAfterPause(now, u, q) {
				verdict = AllPaused
			}
			continue
		}
		verdict = NoCapacity
		key := t.sortKeyOf(now, u, q, holders)
		accepting.add(&key, u.Region, allowed)
		betterUnlimited := unlimited == nil || key.before(unlimitedKey)
		better := (best == nil || key.before(bestKey)) && allowed(u.Region)
		if !betterUnlimited && !better || !t.hasCapacity(now, u, q, key.tier) {
			continue // most upstreams are skipped here, before their load is estimated
		}
		if betterUnlimited {
			unlimited, unlimitedKey = u, key
		}
		if better {
			best, bestKey = u, key
		}
	}
	if bestKey.likelyRejected && accepting.allowed {
		best = nil
	}
	if unlimitedKey.likelyRejected && accepting.any {
		unlimited = nil
	}
	return best, unlimited, verdict
}

// eligible reports whether an upstream may receive a request, regardless of its load.
func (t *Table) eligible(now time.Time, u *upstream, q *Query) bool {
	return (u.paced == nil || !u.paused(now)) && t.eligibleAfterPause(now, u, q)
}

// eligibleAfterPause reports the same for an upstream that pauses, once it is open again.
func (t *Table) eligibleAfterPause(now time.Time, u *upstream, q *Query) bool {
	return u.candidate && q.allows(u.Region) &&
		!u.ejected && !contains(q.Tried, u.ID) && (!u.cold(now) || t.mayUseCold(u))
}

// hasCapacity reports whether an upstream has capacity for a request of the given tier.
func (t *Table) hasCapacity(now time.Time, u *upstream, q *Query, tier int) bool {
	if u.cold(now) && !t.hasColdToken(now, u) || u.announced != nil && !t.withinLimit(now, u) || u.paced != nil && !t.fitsPace(now, u) {
		return false
	}
	slots := float64(max(u.Slots, 1))
	if q.Object != 0 && tier != tierHolder && (len(q.Regions) > 0 || (q.Rejected || q.displaced) && tier == tierLocal) {
		return u.load(now)+1 <= max(slots*restrictedMaxUtilization, 1)
	}
	if q.Object != 0 && tier != tierHolder {
		return u.load(now)+1 <= slots*tierMaxUtilization[tier]
	}
	return u.load(now)+1 <= slots+queueAllowance(q.Urgency)
}

// Done removes a completed request from an upstream and records its outcome.
func (t *Table) Done(now time.Time, id string, o Outcome) {
	u := t.byID[id]
	if u == nil {
		return
	}
	u.inFlight = max(0, u.inFlight-1)
	if o.notRun() && !o.Restricted {
		t.shiftLimiter.RecordNotRun(now, u.Region)
	}
	if o.NotSent {
		return
	}
	u.recordLoad(now, o)
	u.recordRecent(now, o)
	failing := u.failing()
	u.recordOutcome(now, o, t.recordPace(now, u, o))
	if o.ResponseBytes > 0 {
		t.responseBytes += responseBytesWeight * (float64(o.ResponseBytes) - t.responseBytes)
	}
	switch {
	case o.Unreachable || o.AddressReassigned:
		u.eject(now, t.maxEjection())
		t.endPace(now, u)
		t.updateCapacity(now)
	case u.failing() != failing:
		t.updateCapacity(now)
	}
	if !o.Failed && !o.Unconnected && !u.ejected {
		u.ejectionPeriod = 0
	}
	if o.Rejected && !o.Reported {
		u.otherLoad, u.otherLoadAt = float64(u.Slots), now
	}
}

// RunningRequests returns the number of requests of this VM in flight at upstreams.
func (t *Table) RunningRequests() int {
	n := 0
	for _, u := range t.upstreams {
		n += u.inFlight
	}
	return n
}

// LiveUpstreams returns the number of upstreams that may receive requests.
func (t *Table) LiveUpstreams() int {
	n := 0
	for _, u := range t.upstreams {
		if u.candidate && !u.ejected {
			n++
		}
	}
	return n
}
