package grant

import (
	"time"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

const (
	// maxImmediateHolders is the number of holders up to which each change is planned at once.
	// Above it, plans are planIntervalPerHolder times the number of holders apart, which
	// bounds the owner's work, but at most maxPlanInterval, because load that moves between
	// holders waits for the next plan.
	maxImmediateHolders   = 64
	planIntervalPerHolder = 200 * time.Microsecond
	maxPlanInterval       = MinRenewInterval

	// rateDeadband and depthDeadband are the relative differences from the target that do not change
	// a share. The deadband of depth is wider because reducing depth discards tokens.
	rateDeadband  = 0.1
	depthDeadband = 0.2

	// sumTolerance is the relative rounding error allowed in sums of rates.
	sumTolerance = 1e-9
)

// portionSum is the sum of the portions of a pool.
type portionSum struct {
	rate, depth float64
	units       int64
}

func (t *portionSum) add(p portion) {
	t.rate += p.rate
	t.depth += p.depth
	t.units += int64(p.units)
}

func (t *portionSum) subtract(p portion) {
	t.rate -= p.rate
	t.depth -= p.depth
	t.units -= int64(p.units)
}

// pool is one cap and the holdings that share it.
type pool struct {
	cap      Cap
	holdings []*holding
	sum      portionSum // of committed portions

	// unreported counts units that holders of an earlier term may still use. It is computed
	// from largestCap, the largest cap of this term, because a cap may be removed and added
	// again.
	unreported            int64
	largestCap            uint32
	unreportedQuarantined bool

	// idleTokens are left of those that accrued before any share was issued in this term.
	idleTokens      float64
	idleTokensKnown bool

	division  division // from the last plan of a rate
	scale     float64  // factor by which the parts of division add up to the whole rate
	dirty     bool
	plannedAt clock.Instant
	rotatedAt clock.Instant
	rotate    bool // the next plan reassigns the pieces that do not divide evenly
	shortRate shortage
	// shortDepth is separate from shortRate, because reducing depth discards tokens.
	shortDepth shortage
	shortUnits shortage
	claims     []claim    // buffer of divide
	planned    []*holding // holdings in the current plan, sorted by rank
}

// setCap changes the cap. Units above the largest cap of this term are quarantined with the
// units that nobody reported and released with them, at once if those are released already.
func (p *pool) setCap(c Cap) {
	c.Rate, c.Burst = sanitizeAmount(c.Rate), sanitizeAmount(c.Burst)
	if c.Units > p.largestCap {
		if p.unreportedQuarantined {
			p.unreported += int64(c.Units - p.largestCap)
		}
		p.largestCap = c.Units
	}
	p.dirty = p.dirty || c != p.cap
	p.cap = c
}

func (p *pool) isRate() bool { return p.cap.Kind == apipb.ResourceKind_RESOURCE_KIND_RATE }

// reconfirm returns what h holds, reduced in proportion if the holders together report more
// than the cap.
func (p *pool) reconfirm(h *holding) portion {
	next := h.held
	if p.sum.rate > p.cap.Rate {
		next.rate *= p.cap.Rate / p.sum.rate
	}
	if p.sum.depth > p.cap.Burst {
		next.depth *= p.cap.Burst / p.sum.depth
	}
	if limit := int64(p.cap.Units); p.sum.units > limit {
		next.units = uint32(int64(next.units) * limit / p.sum.units)
	}
	return next
}

// nextPortion returns the share that moves h towards its target within what is free.
func (p *pool) nextPortion(h *holding, now clock.Instant) portion {
	if p.isRate() {
		return p.nextRate(h, now)
	}
	return portion{units: p.nextUnits(h, now)}
}

func (p *pool) nextRate(h *holding, now clock.Instant) (next portion) {
	p.retarget(h)
	committed := h.committed()
	freeRate := max(0, p.cap.Rate-p.sum.rate+committed.rate)
	freeDepth := max(0, p.cap.Burst-p.sum.depth+committed.depth)
	scarceRate := p.shortRate.isActive(now) || p.sum.rate > p.cap.Rate*(1+sumTolerance)
	scarceDepth := p.shortDepth.isActive(now) || p.sum.depth > p.cap.Burst*(1+sumTolerance)
	next.rate = min(applyDeadband(h.held.rate, h.target.rate, rateDeadband, scarceRate), freeRate)
	next.depth = min(applyDeadband(h.held.depth, h.target.depth, depthDeadband, scarceDepth), freeDepth)
	if next.rate < h.target.rate*(1-rateDeadband) {
		p.shortRate.start(now)
	}
	if next.depth < h.target.depth*(1-depthDeadband) {
		p.shortDepth.start(now)
	}
	return next
}

// nextUnits lets h keep one unit or a tenth above its target, whichever is more, unless others
// lack units, so that units do not move with each change of demand.
func (p *pool) nextUnits(h *holding, now clock.Instant) uint32 {
	limit := int64(p.cap.Units) - p.unreported
	free := max(0, limit-p.sum.units+int64(h.committed().units))
	scarce := p.shortUnits.isActive(now) || p.sum.units > limit
	want := h.target.units
	if slack := max(1, h.held.units/10); !scarce && h.held.units > want && h.held.units-want <= slack {
		want = h.held.units
	}
	next := uint32(min(int64(want), free))
	if next < h.target.units && h.expectedDemand() > float64(next) {
		p.shortUnits.start(now)
	}
	return next
}

// applyDeadband returns the present value if it is within the deadband of the target, and otherwise
// the target rounded to float32, the precision of shares. The caller limits the result to what
// is free and rounds it down.
func applyDeadband(present, target, deadband float64, scarce bool) float64 {
	if !scarce && present > 0 && max(present, target)*(1-deadband) <= min(present, target) {
		return present
	}
	return float64(float32(target))
}

// planIfDue recomputes the targets if something changed since the last plan and the next one
// is due.
func (p *pool) planIfDue(now clock.Instant) {
	if hasElapsed(now, p.rotatedAt, RenewInterval) {
		p.rotatedAt, p.rotate, p.dirty = now, true, true
	}
	count := len(p.holdings)
	if !p.dirty || count > maxImmediateHolders &&
		!hasElapsed(now, p.plannedAt, min(maxPlanInterval, time.Duration(count)*planIntervalPerHolder)) {
		return
	}
	elapsed := minElapsed(now, p.plannedAt)
	p.dirty, p.plannedAt = false, now
	if p.rotate {
		p.recomputeSum()
	}
	p.planned = p.planned[:0]
	for _, h := range p.holdings {
		h.target, h.plannedDemand = portion{}, h.demand
		if h.inPlan() {
			p.planned = append(p.planned, h)
		}
	}
	if len(p.planned) == 0 {
		return
	}
	addRetiringDemand(p.planned)
	if p.isRate() {
		p.planRates(elapsed)
	} else {
		p.planUnits()
	}
	p.rotate = false
}

// recomputeSum recomputes the sum of committed portions, so that rounding errors do not accumulate.
func (p *pool) recomputeSum() {
	p.sum = portionSum{}
	for _, h := range p.holdings {
		p.sum.add(h.committed())
	}
}
