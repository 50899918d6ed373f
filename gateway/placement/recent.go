package placement

import "time"

// recent is what the latest responses say about an upstream that holds for about a second.
type recent struct {
	// until is when nothing in it raises the cost of requests any more, so that a choice among hundreds of upstreams
	// computes the cost of few.
	until      time.Time
	rejections rejections
	slowness   slowness
}

// recordRecent updates it with the outcome of a request that was sent. A rejection that the upstream explains,
// by a pause or because it leaves, is left to what it announced.
func (u *upstream) recordRecent(now time.Time, o Outcome) {
	if u.recent.slowness.record(now, o.Slowness) {
		u.recent.extend(now.Add(maxSlownessAge))
	}
	free := o.RejectedWithFreeSlots()
	switch {
	case free && (u.leaving() || u.paused(now)):
	case free || !o.notRun():
		u.recent.rejections.record(now, free)
	}
	u.recent.extendForRejections(now)
}

// setOthersRejections sets the rejection rate that other VMs report; 0 if they report none.
func (r *recent) setOthersRejections(now time.Time, rate float64) {
	r.rejections.setOthers(now, rate)
	r.extendForRejections(now)
}

// extendForRejections lets a notable rejection rate count for as long as it may.
func (r *recent) extendForRejections(now time.Time) {
	if r.rejections.notable(now) > 0 {
		r.extend(now.Add(maxRejectionAge))
	}
}

func (r *recent) extend(until time.Time) {
	if until.After(r.until) {
		r.until = until
	}
}

// costFactor returns the expected cost of a request at the upstream as a multiple of the usual: 1 if the upstream is
// as usual.
func (r *recent) costFactor(now time.Time, q *Query) float64 {
	if !now.Before(r.until) {
		return 1
	}
	return r.slowness.notable(now, q.Slack) / (1 - min(r.rejections.notable(now), maxRejectionRate))
}

// rejectionRate returns the rejection rate if the upstream ranks behind others because of it, otherwise 0.
func (r *recent) rejectionRate(now time.Time) float64 {
	if !now.Before(r.until) {
		return 0
	}
	return r.rejections.notable(now)
}
