package placement

import "time"

// markCold marks an upstream as cold for the given time.
func (t *Table) markCold(now time.Time, u *upstream, left time.Duration) {
	if left <= 0 {
		return
	}
	if !u.cold(now) {
		u.coldTokens, u.coldAt = 0, now
	}
	if until := now.Add(left); until.After(u.coldUntil) {
		u.coldUntil = until
	}
}

// mayUseCold reports whether this VM is one of the coldSenders that use a cold upstream.
func (t *Table) mayUseCold(u *upstream) bool {
	return t.warmupRate > 0 && t.coldRank(u) < coldSenders
}

// coldRank is the rank of this VM among those that may use a cold upstream, by rendezvous hashing.
func (t *Table) coldRank(u *upstream) int {
	rank := 0
	mine := u.score(hashOf(t.self.VM))
	for _, vm := range t.vms {
		if vm.Name != t.self.VM && u.score(hashOf(vm.Name)) > mine {
			rank++
		}
	}
	return rank
}

// hasColdToken refills the token bucket of a cold upstream and reports whether it holds a token.
// The bucket starts empty, because another VM may have used the rate until now.
func (t *Table) hasColdToken(now time.Time, u *upstream) bool {
	rate := t.warmupRate / coldSenders
	if elapsed := now.Sub(u.coldAt).Seconds(); elapsed > 0 {
		u.coldTokens = min(1, u.coldTokens+rate*elapsed)
		u.coldAt = now
	}
	return u.coldTokens >= 1
}
