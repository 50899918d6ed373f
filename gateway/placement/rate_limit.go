package placement

import (
	"math"
	"time"
)

const (
	// limitSenders is how many VMs use an upstream with a limit of zero requests per second; each request
	// per second of the limit adds one. Each of them may send one request at once, so that many VMs with
	// a small share would exceed the limit together.
	limitSenders = 2.0
	// probeShare is the part of a limit that all other VMs use together.
	probeShare = 0.1
	// minLimit is the rate, in requests per second, that is assumed of an upstream with a lower limit:
	// its responses tell when the limit ends.
	minLimit = 0.05
	// limitBurst is the time whose requests a VM may send at once.
	limitBurst = 250 * time.Millisecond
	// limitUpdateInterval is how often the share of this VM is computed.
	limitUpdateInterval = 500 * time.Millisecond
	// keptLoad is the part of a limit that the objects assigned to the upstream are expected to use.
	keptLoad = 0.8
)

// rateShare is the part of an upstream's limit that this VM may use, as a token bucket. It starts with a
// fraction of a token that differs between VMs, since they would otherwise send their requests at the same
// moments and nothing at first.
type rateShare struct {
	perSecond float64
	updatedAt time.Time
	tokens    float64
	filledAt  time.Time
	// kept is the fraction of the upstream's objects that stay assigned to it.
	kept float64
}

// shareOfLimit returns what this VM may send to an upstream with a limit, with its tokens as of now; nil
// if there is no limit.
func (t *Table) shareOfLimit(now time.Time, u *upstream) *rateShare {
	if u.announced == nil {
		return nil
	}
	s := &u.announced.share
	limit, bounded := u.announced.RateLimit(now)
	if !bounded {
		*s = rateShare{}
		return nil
	}
	if s.updatedAt.IsZero() {
		s.filledAt, s.tokens = now, float64(u.score(hashOf(t.self.VM))>>32)/(1<<32)
	}
	if now.Sub(s.updatedAt) >= limitUpdateInterval {
		s.updatedAt = now
		s.perSecond, s.kept = t.shareOf(u, limit), t.keptFraction(limit)
	}
	s.fill(now)
	return s
}

// fill adds the tokens of the time since the last call.
func (s *rateShare) fill(now time.Time) {
	if elapsed := now.Sub(s.filledAt).Seconds(); elapsed > 0 {
		s.tokens = min(max(1, s.perSecond*limitBurst.Seconds()), s.tokens+s.perSecond*elapsed)
		s.filledAt = now
	}
}

// withinLimit reports whether this VM may send a request to an upstream now.
func (t *Table) withinLimit(now time.Time, u *upstream) bool {
	s := t.shareOfLimit(now, u)
	return s == nil || s.tokens >= 1
}

// spendLimit takes the token of a request that is sent.
func (t *Table) spendLimit(now time.Time, u *upstream) {
	if s := t.shareOfLimit(now, u); s != nil {
		s.tokens--
	}
}

// keepsObject reports whether an object stays assigned to an upstream that may have a limit: as many as it
// can serve, the same at all VMs. A request without a
// token goes to the next upstream at once, since the rate of one object is too low to wait for the next
// token.
func (t *Table) keepsObject(now time.Time, u *upstream, object uint64) bool {
	s := t.shareOfLimit(now, u)
	return s == nil || s.tokens >= 1 && float64(u.score(^object))/math.MaxUint64 < s.kept
}

// shareOf returns the requests per second that this VM may send to an upstream with a limit. A few VMs,
// in the upstream's region if it has any, share most of it.
func (t *Table) shareOf(u *upstream, limit float64) float64 {
	limit = math.Max(limit, minLimit)
	near, rank, isNear := 0, 0, false
	mine := u.score(hashOf(t.self.VM))
	regional := t.hasVMs(u.Region)
	for _, vm := range t.vms {
		switch {
		case regional && vm.Region != u.Region:
			continue
		case vm.Name == t.self.VM:
			isNear = true
		case u.score(hashOf(vm.Name)) > mine:
			rank++
		}
		near++
	}
	senders := min(int(limitSenders+limit), max(near, 1))
	others := len(t.vms) - senders
	switch {
	case others <= 0:
		return limit / float64(senders)
	case isNear && rank < senders:
		return limit * (1 - probeShare) / float64(senders)
	}
	return limit * probeShare / float64(others)
}

// hasVMs reports whether entry VMs of the fleet are in a region.
func (t *Table) hasVMs(region string) bool {
	for _, vm := range t.vms {
		if vm.Region == region {
			return true
		}
	}
	return false
}

// keptFraction returns the fraction of its objects that an upstream with a limit can serve, if callers
// ask each upstream for the same. All are kept until the demand is known.
func (t *Table) keptFraction(limit float64) float64 {
	rate, candidates := 0.0, 0
	for _, region := range t.demand {
		rate += region.Rate
	}
	for _, n := range t.cacheCandidates {
		candidates += n
	}
	if rate == 0 || candidates == 0 {
		return 1
	}
	return min(1, keptLoad*limit*float64(candidates)/rate)
}
