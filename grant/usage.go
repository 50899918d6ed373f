package grant

import (
	"cmp"
	"slices"

	"pistachiomount.example/pistachiomount/apipb"
)

// Usage is the state of one cap at the owner, for status pages and metrics.
type Usage struct {
	Cap Cap
	// Rate, Depth and Units are what holders may have in force at most.
	Rate, Depth float64
	Units       int64
	// Quarantined counts units that wait for requests of lost holders or of an
	// earlier term to end.
	Quarantined int64
	// Demand is the sum that holders reported.
	Demand  float64
	Holders int
}

// Usage returns the state of all caps, ordered by resource.
func (o *Owner) Usage() []Usage {
	o.mu.Lock()
	defer o.mu.Unlock()
	usage := make([]Usage, 0, len(o.pools))
	for _, p := range o.pools {
		usage = append(usage, p.usage())
	}
	slices.SortFunc(usage, func(a, b Usage) int { return cmp.Compare(a.Cap.Resource, b.Cap.Resource) })
	return usage
}

func (p *pool) usage() Usage {
	u := Usage{Cap: p.cap, Rate: p.sum.rate, Depth: p.sum.depth, Units: p.sum.units, Quarantined: p.unreported}
	for _, h := range p.holdings {
		u.Quarantined += int64(h.quarantine)
		u.Demand += h.demand
		if h.member.live {
			u.Holders++
		}
	}
	return u
}

// Headroom returns the part of the cap that is not wanted at present, from 0 to 1.
func (u Usage) Headroom() float64 {
	limit := u.Cap.Rate
	if u.Cap.Kind == apipb.ResourceKind_RESOURCE_KIND_UNITS {
		limit = float64(u.Cap.Units)
	}
	if limit <= 0 {
		return 0
	}
	return max(0, 1-u.Demand/limit)
}
