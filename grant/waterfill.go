package grant

// level is the result of a weighted max-min division: each claim gets its demand, but at most
// perWeight times its weight if the division is limited.
type level struct {
	perWeight float64
	limited   bool // the sum of demands exceeds the capacity
	total     float64
}

func (l level) part(demand, weight float64) float64 {
	if !l.limited {
		return demand
	}
	return min(demand, l.perWeight*weight)
}

// maxMin divides capacity among the claims by weighted max-min fairness (water-filling). Each
// pass satisfies the claims below the previous level in full, which raises the level for the
// others. A few passes suffice in practice and cost less than sorting.
func maxMin(capacity float64, claims []claim) level {
	var demand, weight float64
	for _, c := range claims {
		demand += c.demand
		weight += c.weight
	}
	if demand <= capacity {
		return level{total: demand}
	}
	l := level{limited: true, total: capacity}
	for settled := -1; ; {
		var below, above float64
		count := 0
		for _, c := range claims {
			if c.demand <= l.perWeight*c.weight {
				below += c.demand
				count++
			} else {
				above += c.weight
			}
		}
		if count == settled {
			return l
		}
		settled = count
		l.perWeight = max(l.perWeight, (capacity-below)/max(above, minWeight))
	}
}

// minWeight avoids a division by zero when the remaining weight is rounded to zero.
const minWeight = 1e-9

// claim is the demand of one holding and its weight in the division.
type claim struct{ demand, weight float64 }
