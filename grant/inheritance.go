package grant

// inheritDemand adds the demand of retiring holders to the holders that their callers are expected
// to move to: in equal parts to the others of the region, or to all others where it has none. A
// retiring holder keeps its own demand, because callers leave it one by one.
func inheritDemand(planned []*holding) {
	retiring := map[string]float64{} // demand by region
	for _, h := range planned {
		h.inherited = 0
		if h.member.retiring {
			retiring[h.member.region] += h.demand
		}
	}
	for region, demand := range retiring {
		heirs := heirsOf(planned, func(m *member) bool { return m.region == region })
		if len(heirs) == 0 {
			heirs = heirsOf(planned, func(*member) bool { return true })
		}
		for _, h := range heirs {
			h.inherited += demand / float64(len(heirs))
		}
	}
}

// heirsOf returns the holdings of eligible members that are not retiring.
func heirsOf(planned []*holding, eligible func(*member) bool) (heirs []*holding) {
	for _, h := range planned {
		if !h.member.retiring && eligible(h.member) {
			heirs = append(heirs, h)
		}
	}
	return heirs
}
