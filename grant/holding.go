package grant

import (
	"math"

	"pistachiomount.example/pistachiomount/clock"
)

// demandHysteresis is the relative change of demand that makes a new plan due.
const demandHysteresis = 0.05

// portion is an amount of one resource; units and rates use their own fields.
type portion struct {
	rate, depth float64
	units       uint32
}

// holding is what one member may have of one resource.
type holding struct {
	member                 *member
	pool                   *pool
	poolIndex, memberIndex int
	removed                bool

	sequence uint64  // of the request that reported it last
	held     portion // in force when that request was sent
	issued   portion // in the reply to it
	used     uint32  // units in use when it was sent

	// quarantine counts units of a lease that lapsed, until their requests have
	// certainly ended.
	quarantine    uint32
	quarantinedAt clock.Instant

	demand, weight float64
	plannedDemand  float64
	target         portion
	smoothedPart   float64 // part of the rate, averaged over depthTau
	rank           float64 // order in the current plan, highest first
	credit         float64 // fractions of a unit owed by earlier roundings
}

// committed returns the most that can be in force or in use at the holder.
func (h *holding) committed() portion {
	return portion{
		rate:  max(h.held.rate, h.issued.rate),
		depth: max(h.held.depth, h.issued.depth),
		units: max(h.held.units, h.issued.units, h.used, h.quarantine),
	}
}

// update applies f and keeps the sums of the pool up to date.
func (h *holding) update(f func()) {
	h.pool.sum.subtract(h.committed())
	f()
	h.pool.sum.add(h.committed())
}

// inPlan reports whether the holding takes part in the division of its pool.
func (h *holding) inPlan() bool { return h.member.live && !h.member.stopping }

// reportContext is what the owner knows about a request as a whole.
type reportContext struct {
	sequence uint64
	weight   float64
	// trusted says that grants of an earlier term may be reported.
	trusted     bool
	quarantined func(*holding) bool
}

// recordReport records a report. The holder sent it after all replies issued before,
// and accepts only the reply to it from now on; so what was issued but is not
// reported as held can never come into force.
func (h *holding) recordReport(r report, context reportContext) {
	h.update(func() {
		h.held = h.limitToCommitted(r.held, context)
		h.issued = portion{}
		h.used = r.used
		// Without a grant in force the units in use are exactly those reported.
		// Otherwise the request was sent before the lease lapsed and the units
		// may have been taken after that.
		if h.quarantine > 0 && (r.held.units == 0 || !context.quarantined(h)) {
			h.quarantine = 0
		}
	})
	h.sequence = context.sequence
	h.setDemand(r.demand, context.weight)
}

// limitToCommitted limits a report to what this owner knows that the holder can have. A
// decrease counts from its acknowledgement on; a region acknowledges it only when
// its holders have.
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

func (h *holding) setDemand(demand, weight float64) {
	if weight == 0 {
		weight = 1
	}
	h.demand = demand
	if weight != h.weight || math.Abs(demand-h.plannedDemand) > demandHysteresis*max(demand, h.plannedDemand) {
		h.weight, h.pool.dirty = weight, true
	}
}

// sanitizeAmount makes a number from the network safe to calculate with.
func sanitizeAmount(v float64) float64 {
	if v > 0 && v <= math.MaxFloat32 {
		return v
	}
	return 0
}
