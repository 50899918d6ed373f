package grant

import (
	"cmp"
	"slices"

	"pistachiomount.example/pistachiomount/apipb"
)

// Usage is the state of one cap at the owner, for status pages and metrics.
type Usage struct {
	Cap Cap
	// Rate, Depth and Units are the most that holders can have in force.
	Rate, Depth float64
	Units       int64
	// Quarantined counts units that are not granted until the requests of lost holders or of
	// an earlier term have ended.
	Quarantined int64
	// Demand is the sum of the demands that holders reported.
	Demand float64
	// Holders counts the holders with a valid lease.
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

// Headroom returns the fraction of the cap that exceeds demand, from 0 to 1.
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
