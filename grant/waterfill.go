package grant

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

// maxMin divides capacity over the claims by weighted max-min. Each pass settles
// the claims below the level of the one before, which raises the level of the
// rest; a few passes suffice in practice and cost less than sorting.
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

// minWeight keeps rounding of the remaining weight from dividing by zero.
const minWeight = 1e-9

type claim struct{ demand, weight float64 }
