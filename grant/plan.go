package grant

import (
	"cmp"
	"math"
	"slices"
)

const (
	// floorPart of the remainder is spread equally, so that a holder to which
	// load moves has a share before it asks; the rest follows demand.
	floorPart = 0.5
	// depthFloorPart of the burst is spread equally for the same reason.
	depthFloorPart = 0.5
	// creditLimit bounds the fractions of a unit that a holder can be owed.
	creditLimit = 3
	// wholeTolerance lets a sum of fractions count as a whole number.
	wholeTolerance = 1e-9
)

// divide returns the part of each planned holding of capacity: weighted max-min
// over demand, then the remainder as headroom.
func (p *pool) divide(capacity float64) func(*holding) float64 {
	p.claims = p.claims[:0]
	for _, h := range p.ranked {
		p.claims = append(p.claims, claim{demand: h.demand, weight: h.weight})
	}
	l := maxMin(capacity, p.claims)
	rest := max(0, capacity-l.total)
	floor, factor := rest/float64(len(p.ranked)), 1.0
	if l.total > 0 {
		floor *= floorPart
		factor += (1 - floorPart) * rest / l.total
	}
	return func(h *holding) float64 { return l.part(h.demand, h.weight)*factor + floor }
}

// planRates sets the targets of a rate. Where the burst is too small for the
// smallest useful depth at each holder, holders take turns.
func (p *pool) planRates() {
	part := p.divide(p.cap.Rate)
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
	count := float64(len(chosen))
	spread := max(0, p.cap.Burst-least*count)
	for _, h := range chosen {
		f := part(h) / sum
		h.target.rate = p.cap.Rate * f
		h.target.depth = least + spread*(depthFloorPart/count+(1-depthFloorPart)*f)
	}
}

// planUnits sets the targets of units: the whole part of each share, and the
// units left over to holders that want them, in turns.
func (p *pool) planUnits() {
	capacity := int64(p.cap.Units) - p.unreported
	for _, h := range p.holdings {
		if !h.planned() {
			capacity -= int64(h.committed().units)
		}
	}
	capacity = max(0, capacity)
	part := p.divide(float64(capacity))
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
	wants := func(h *holding) int {
		if h.demand > float64(h.target.units) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(p.ranked, func(a, b *holding) int {
		return cmp.Or(cmp.Compare(wants(b), wants(a)), cmp.Compare(b.credit, a.credit))
	})
}
