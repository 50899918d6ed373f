package grant

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// equalRateFraction is the fraction of the unclaimed rate that is spread equally, so that a
	// holder to which load moves has a share before it requests one. The rest follows demand.
	equalRateFraction = 0.25
	// equalDepthFraction is the fraction of the burst that is spread equally for the same reason.
	equalDepthFraction = 0.75
	// depthTau is the time constant with which depth follows a lasting change of demand.
	depthTau = 20 * time.Second
	// creditLimit bounds the credit of a holding, in units.
	creditLimit = 3
	// wholeTolerance is the rounding error up to which a sum counts as a whole number.
	wholeTolerance = 1e-9
)

// division is the result of dividing a capacity among the planned holdings: by weighted max-min
// over demand, then the remainder as headroom.
type division struct {
	level
	floor, factor float64
}

func (d division) part(h *holding) float64 {
	return d.level.part(h.expectedDemand(), h.weight)*d.factor + d.floor
}

func (p *pool) divide(capacity float64) division {
	p.claims = p.claims[:0]
	for _, h := range p.planned {
		p.claims = append(p.claims, claim{demand: h.expectedDemand(), weight: h.weight})
	}
	d := division{level: maxMin(capacity, p.claims), factor: 1}
	rest := max(0, capacity-d.total)
	d.floor = rest / float64(len(p.planned))
	if d.total > 0 {
		d.floor *= equalRateFraction
		d.factor += (1 - equalRateFraction) * rest / d.total
	}
	return d
}

// planRates sets the targets of a rate. If the burst is too small to give each holder the
// smallest useful depth, holders get a share in rotation.
func (p *pool) planRates(elapsed time.Duration) {
	d := p.divide(p.cap.Rate)
	part := d.part
	minDepth := min(p.cap.minDepth(), p.cap.Burst)
	fitting := len(p.planned)
	if minDepth > 0 {
		fitting = min(fitting, int(p.cap.Burst/minDepth+wholeTolerance))
	}
	chosen := p.planned
	if fitting < len(p.planned) {
		share := float64(fitting) / float64(len(p.planned))
		p.rank(func(*holding) float64 { return share }, func(h *holding) bool { return h.held.depth > 0 }, fitting)
		chosen = p.planned[:fitting]
	}
	var sum float64
	for _, h := range chosen {
		sum += part(h)
	}
	if sum <= 0 {
		return
	}
	p.division, p.scale = d, p.cap.Rate/sum
	for _, h := range chosen {
		h.target.rate = p.scale * part(h)
	}
	p.planDepth(chosen, minDepth, elapsed)
}

// retarget applies the last plan to demand that changed since, if the next plan is not due yet.
// Otherwise a holder that lost its load would keep its share for another RenewInterval.
func (p *pool) retarget(h *holding) {
	if p.dirty && h.target.rate > 0 {
		h.target.rate = p.scale * p.division.part(h)
	}
}

// planDepth sets the targets of depth: the smallest useful depth, an equal part, and a part that
// follows the rate slowly. Depth that moves to another holder starts empty and its tokens are
// lost, so following short changes would only discard tokens.
func (p *pool) planDepth(chosen []*holding, minDepth float64, elapsed time.Duration) {
	gain := 1 - math.Exp(-elapsed.Seconds()/depthTau.Seconds())
	count := float64(len(chosen))
	var sum float64
	for _, h := range chosen {
		f := h.target.rate / p.cap.Rate
		if h.smoothedPart == 0 {
			h.smoothedPart = 1 / count
		}
		h.smoothedPart += gain * (f - h.smoothedPart)
		sum += h.smoothedPart
	}
	spread := max(0, p.cap.Burst-minDepth*count)
	for _, h := range chosen {
		h.target.depth = minDepth + spread*(equalDepthFraction/count+(1-equalDepthFraction)*h.smoothedPart/sum)
	}
}

// planUnits sets the targets of units: the whole part of each share, and the remainder units in
// rotation to holders that want them.
func (p *pool) planUnits() {
	capacity := max(0, int64(p.cap.Units)-p.unreported-p.unplannedUnits())
	part := p.divide(float64(capacity)).part
	left := capacity
	for _, h := range p.planned {
		h.target.units = uint32(math.Floor(part(h) + wholeTolerance))
		left -= int64(h.target.units)
	}
	extra := int(min(max(0, left), int64(len(p.planned))))
	p.rank(func(h *holding) float64 {
		return max(0, part(h)-float64(h.target.units))
	}, func(h *holding) bool { return h.held.units > h.target.units }, extra)
	for _, h := range p.planned[:extra] {
		h.target.units++
	}
}

// unplannedUnits returns the units committed to holders that are stopping or were lost.
func (p *pool) unplannedUnits() (n int64) {
	if len(p.planned) == len(p.holdings) {
		return 0
	}
	for _, h := range p.holdings {
		if !h.inPlan() {
			n += int64(h.committed().units)
		}
	}
	return n
}

// rank sorts the planned holdings so that the first count of them get a whole piece: first those
// with demand above their target, then those with the most credit. fraction returns the part of a
// piece due to a holding, holdsPiece whether it has a piece now.
func (p *pool) rank(fraction func(*holding) float64, holdsPiece func(*holding) bool, count int) {
	if p.rotate {
		for _, h := range p.planned {
			h.credit += fraction(h)
			if holdsPiece(h) {
				h.credit--
			}
			h.credit = max(-creditLimit, min(creditLimit, h.credit))
		}
	}
	if count <= 0 {
		return
	}
	for _, h := range p.planned {
		h.rank = h.credit
		if h.expectedDemand() > float64(h.target.units) {
			h.rank += 2*creditLimit + 1
		}
	}
	slices.SortFunc(p.planned, func(a, b *holding) int { return cmp.Compare(b.rank, a.rank) })
}
