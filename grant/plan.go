package grant

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// floorPart of the remainder is spread equally, so that a holder to which
	// load moves has a share before it asks; the rest follows demand.
	floorPart = 0.25
	// depthFloorPart of the burst is spread equally for the same reason.
	depthFloorPart = 0.75
	// depthTau is the time in which depth follows a lasting change of demand.
	depthTau = 20 * time.Second
	// creditLimit bounds the fractions of a unit that a holder can be owed.
	creditLimit = 3
	// wholeTolerance lets a sum of fractions count as a whole number.
	wholeTolerance = 1e-9
)

// division gives each planned holding its part of a capacity: weighted max-min
// over demand, then the remainder as headroom.
type division struct {
	level
	floor, factor float64
}

func (d division) part(h *holding) float64 {
	return d.level.part(h.demand, h.weight)*d.factor + d.floor
}

func (p *pool) divide(capacity float64) division {
	p.claims = p.claims[:0]
	for _, h := range p.ranked {
		p.claims = append(p.claims, claim{demand: h.demand, weight: h.weight})
	}
	d := division{level: maxMin(capacity, p.claims), factor: 1}
	rest := max(0, capacity-d.total)
	d.floor = rest / float64(len(p.ranked))
	if d.total > 0 {
		d.floor *= floorPart
		d.factor += (1 - floorPart) * rest / d.total
	}
	return d
}

// planRates sets the targets of a rate. Where the burst is too small for the
// smallest useful depth at each holder, holders take turns.
func (p *pool) planRates(elapsed time.Duration) {
	d := p.divide(p.cap.Rate)
	part := d.part
	least := min(p.cap.minDepth(), p.cap.Burst)
	fit := len(p.ranked)
	if least > 0 {
		fit = min(fit, int(p.cap.Burst/least+wholeTolerance))
	}
	chosen := p.ranked
	if fit < len(p.ranked) {
		share := float64(fit) / float64(len(p.ranked))
		p.rank(func(*holding) float64 { return share }, func(h *holding) bool { return h.held.depth > 0 }, fit)
		chosen = p.ranked[:fit]
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
	p.planDepth(chosen, least, elapsed)
}

// retarget applies the last plan to demand that changed since, where the next
// plan is not due yet. Otherwise a holder that lost its load would keep its share
// for another RenewInterval.
func (p *pool) retarget(h *holding) {
	if p.dirty && h.target.rate > 0 {
		h.target.rate = p.scale * p.division.part(h)
	}
}

// planDepth sets the targets of depth: the smallest useful one, an equal part,
// and a part that follows the rate slowly. Depth that moves starts empty and what
// was in it is lost, so following short changes would only destroy tokens.
func (p *pool) planDepth(chosen []*holding, least float64, elapsed time.Duration) {
	gain := 1 - math.Exp(-elapsed.Seconds()/depthTau.Seconds())
	count := float64(len(chosen))
	var sum float64
	for _, h := range chosen {
		f := h.target.rate / p.cap.Rate
		if h.slowPart == 0 {
			h.slowPart = 1 / count
		}
		h.slowPart += gain * (f - h.slowPart)
		sum += h.slowPart
	}
	spread := max(0, p.cap.Burst-least*count)
	for _, h := range chosen {
		h.target.depth = least + spread*(depthFloorPart/count+(1-depthFloorPart)*h.slowPart/sum)
	}
}

// planUnits sets the targets of units: the whole part of each share, and the
// units left over to holders that want them, in turns.
func (p *pool) planUnits() {
	capacity := max(0, int64(p.cap.Units)-p.unreported-p.unplannedUnits())
	part := p.divide(float64(capacity)).part
	left := capacity
	for _, h := range p.ranked {
		h.target.units = uint32(math.Floor(part(h) + wholeTolerance))
		left -= int64(h.target.units)
	}
	extra := int(min(max(0, left), int64(len(p.ranked))))
	p.rank(func(h *holding) float64 {
		return max(0, part(h)-float64(h.target.units))
	}, func(h *holding) bool { return h.held.units > h.target.units }, extra)
	for _, h := range p.ranked[:extra] {
		h.target.units++
	}
}

// unplannedUnits counts units of holders that stop or were lost.
func (p *pool) unplannedUnits() (n int64) {
	if len(p.ranked) == len(p.holdings) {
		return 0
	}
	for _, h := range p.holdings {
		if !h.planned() {
			n += int64(h.committed().units)
		}
	}
	return n
}

// rank orders the planned holdings for count whole pieces: first those with
// demand beyond their target, then those that are owed most. fraction is the
// part of a piece due to a holding, has reports whether it has a piece now.
func (p *pool) rank(fraction func(*holding) float64, has func(*holding) bool, count int) {
	if p.rotate {
		for _, h := range p.ranked {
			h.credit += fraction(h)
			if has(h) {
				h.credit--
			}
			h.credit = max(-creditLimit, min(creditLimit, h.credit))
		}
	}
	if count <= 0 {
		return
	}
	for _, h := range p.ranked {
		h.rank = h.credit
		if h.demand > float64(h.target.units) {
			h.rank += 2*creditLimit + 1
		}
	}
	slices.SortFunc(p.ranked, func(a, b *holding) int { return cmp.Compare(b.rank, a.rank) })
}
