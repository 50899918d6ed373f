package grant

import (
	"math"

	"pistachiomount.example/pistachiomount/clock"
)

// demandHysteresis is the relative change of demand above which a new plan is made.
const demandHysteresis = 0.05

// portion is an amount of one resource: rate and depth for a rate, units for units.
type portion struct {
	rate, depth float64
	units       uint32
}

// holding is the ledger entry for what one member may have of one resource.
type holding struct {
	member                 *member
	pool                   *pool
	poolIndex, memberIndex int
	removed                bool

	sequence uint64  // of the request that reported it last
	held     portion // in force when that request was sent
	issued   portion // in the reply to it
	used     uint32  // units in use when it was sent

	// quarantine counts units of an expired lease until the requests that use them have
	// certainly ended.
	quarantine    uint32
	quarantinedAt clock.Instant

	demand, weight float64
	incomingDemand float64 // demand of retiring holders whose callers are expected here
	plannedDemand  float64
	target         portion
	smoothedPart   float64 // part of the rate, smoothed with time constant depthTau
	rank           float64 // sort key of the current plan, highest first
	credit         float64 // fractions of a unit that earlier rounding withheld
}

// committed returns the most that can be in force or in use at the holder at present.
func (h *holding) committed() portion {
	return portion{
		rate:  max(h.held.rate, h.issued.rate),
		depth: max(h.held.depth, h.issued.depth),
		units: max(h.held.units, h.issued.units, h.used, h.quarantine),
	}
}

// update applies f and keeps the sum of the pool up to date.
func (h *holding) update(f func()) {
	h.pool.sum.subtract(h.committed())
	f()
	h.pool.sum.add(h.committed())
}

// inPlan reports whether the holding gets a share when its pool is divided.
func (h *holding) inPlan() bool { return h.member.live && !h.member.stopping }

// reportContext holds what the owner knows about a request as a whole.
type reportContext struct {
	sequence uint64
	weight   float64
	// trusted allows the request to report grants of an earlier term.
	trusted     bool
	quarantined func(*holding) bool
}

// recordReport records what a holder reported. The holder accepts only the reply to its latest
// request, so a share that was issued before but is not reported as held can never come into
// force.
func (h *holding) recordReport(r report, context reportContext) {
	h.update(func() {
		h.held = h.limitToCommitted(r.held, context)
		h.issued = portion{}
		h.used = r.used
		// Without a grant in force, the report lists exactly the units in use. Otherwise the
		// request was sent before the lease expired, and units may have been taken after it
		// was sent.
		if h.quarantine > 0 && (r.held.units == 0 || !context.quarantined(h)) {
			h.quarantine = 0
		}
	})
	h.sequence = context.sequence
	h.setDemand(r.demand, context.weight)
}

// limitToCommitted limits a report to what this owner has granted. A decrease counts once it is
// acknowledged; a regional owner acknowledges it only after its holders have.
func (h *holding) limitToCommitted(reported portion, context reportContext) portion {
	if context.trusted {
		return reported
	}
	return portion{
		rate:  min(reported.rate, max(h.held.rate, h.issued.rate)),
		depth: min(reported.depth, max(h.held.depth, h.issued.depth)),
		units: min(reported.units, max(h.held.units, h.issued.units)),
	}
}

// expectedDemand returns the demand that shares are planned for.
func (h *holding) expectedDemand() float64 { return h.demand + h.incomingDemand }

func (h *holding) setDemand(demand, weight float64) {
	if weight == 0 {
		weight = 1
	}
	h.demand = demand
	if weight != h.weight || math.Abs(demand-h.plannedDemand) > demandHysteresis*max(demand, h.plannedDemand) {
		h.weight, h.pool.dirty = weight, true
	}
}

// sanitizeAmount returns 0 for a number from the network that is negative, NaN or above the range of
// float32.
func sanitizeAmount(v float64) float64 {
	if v > 0 && v <= math.MaxFloat32 {
		return v
	}
	return 0
}
