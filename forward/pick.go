package forward

import (
	"slices"

	"pistachiomount.example/pistachiomount/forward/reject"
)

// maxPicks bounds the upstreams asked for a slot in one region.
const maxPicks = 4

// pick takes a region grant, an upstream and one of its slots. The excluded
// upstreams were tried by this request before.
func (x *exchange) pick(excluded []string) (*attempt, *reject.Rejection) {
	var room [4]string
	q := x.query
	for _, region := range x.h.cfg.Chooser.Regions(room[:0], q) {
		taken, ok := x.h.cfg.Regions.TryTake(region, q.Service)
		if !ok {
			continue
		}
		if u, ok := x.pickIn(q, region, excluded); ok {
			return newAttempt(x, u, region, taken), nil
		}
		x.h.cfg.Regions.Refund(region, q.Service, taken)
	}
	r := reject.New(reject.OverCapacity, "no region has capacity left").After(retrySoon)
	if x.sent {
		r.Run = reject.Unknown
	}
	return nil, r
}

func (x *exchange) pickIn(q Query, region string, excluded []string) (Upstream, bool) {
	full := slices.Clip(excluded)
	for range maxPicks {
		u, ok := x.h.cfg.Chooser.Pick(q, region, full)
		if !ok {
			return Upstream{}, false
		}
		if x.h.cfg.Slots.TryAcquire(u.Name) {
			return u, true
		}
		x.h.cfg.Chooser.Report(q, u, Report{Result: ResultUnused})
		full = append(full, u.Name)
	}
	return Upstream{}, false
}
