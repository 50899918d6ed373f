package placement

// acceptingUpstreams tells a second attempt whether any upstream is likely to accept it, with or without room
// now. As long as one is, the retry budget is not spent on an upstream that is likely to reject it as well.
type acceptingUpstreams struct {
	// any is set for an upstream in any region, allowed for one in the regions that the shift limiter allows.
	any, allowed bool
}

// add considers an eligible upstream. Only second attempts need it. A degraded one doesn't count, since it ranks
// behind all others.
func (a *acceptingUpstreams) add(key *sortKey, region string, allowed func(string) bool) {
	if key.degraded || key.likelyRejected || a.allowed {
		return
	}
	a.any, a.allowed = true, allowed(region)
}
