package grant

// addRetiringDemand adds the demand of retiring holders to the holders that their callers are expected
// to move to: in equal parts to the others of the region, or to all others where it has none. A
// retiring holder keeps its own demand, because callers leave it one by one.
func addRetiringDemand(planned []*holding) {
	retiring := map[string]float64{} // demand by region
	for _, h := range planned {
		h.incomingDemand = 0
		if h.member.retiring {
			retiring[h.member.region] += h.demand
		}
	}
	for region, demand := range retiring {
		successors := successorsAmong(planned, func(m *member) bool { return m.region == region })
		if len(successors) == 0 {
			successors = successorsAmong(planned, func(*member) bool { return true })
		}
		for _, h := range successors {
			h.incomingDemand += demand / float64(len(successors))
		}
	}
}

// successorsAmong returns the holdings of eligible members that are not retiring.
func successorsAmong(planned []*holding, eligible func(*member) bool) (successors []*holding) {
	for _, h := range planned {
		if !h.member.retiring && eligible(h.member) {
			successors = append(successors, h)
		}
	}
	return successors
}
