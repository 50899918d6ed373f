package grant

import (
	"cmp"
	"slices"
)

// level is the result of a weighted max-min division: a claim gets its demand,
// at most perWeight times its weight.
type level struct {
	perWeight float64
	limited   bool // the demands exceed the capacity
	total     float64
}

func (l level) part(demand, weight float64) float64 {
	if !l.limited {
		return demand
	}
	return min(demand, l.perWeight*weight)
}

// maxMin divides capacity over the claims by weighted max-min. It reorders claims.
func maxMin(capacity float64, claims []claim) level {
	var demand, weight float64
	for _, c := range claims {
		demand += c.demand
		weight += c.weight
	}
	if demand <= capacity {
		return level{total: demand}
	}
	slices.SortFunc(claims, func(a, b claim) int {
		return cmp.Compare(a.demand*b.weight, b.demand*a.weight)
	})
	left := capacity
	for _, c := range claims {
		if c.demand*weight > left*c.weight {
			break
		}
		left -= c.demand
		weight -= c.weight
	}
	return level{perWeight: left / max(weight, minWeight), limited: true, total: capacity}
}

// minWeight keeps rounding of the remaining weight from dividing by zero.
const minWeight = 1e-9

type claim struct{ demand, weight float64 }
