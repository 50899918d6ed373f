package placement

import (
	"math"
	"time"
)

const (
	// rejectionTimeConstant is the time constant of the rejection rate, so that an upstream that accepts
	// again is used again within a second or two.
	rejectionTimeConstant = time.Second
	// maxRejectionAge is the time since the latest response from which the rate no longer counts.
	maxRejectionAge = 2 * rejectionTimeConstant
	// notableRejectionRate is the rejection rate from which an upstream ranks behind others, and from which
	// other VMs are told. Below it, a first attempt elsewhere gains less than it costs in cold requests.
	notableRejectionRate = 0.2
	// likelyRejectionRate is the rejection rate from which a second attempt would more likely be rejected
	// than not.
	likelyRejectionRate = 0.5
	// maxRejectionRate keeps the cost of a request at an upstream that rejects everything finite.
	maxRejectionRate = 0.95
	// priorRequests is the number of requests that the rate of other VMs, or none, counts as. One VM sends few
	// requests to each upstream, so a single response must not decide alone.
	priorRequests = 1
)

// rejections follows which part of its requests an upstream rejects although it has free slots. An upstream
// without free slots is left to the estimate of its load. The zero value is an upstream without responses.
type rejections struct {
	// rejected and total are the responses to this VM as of at, with exponentially falling weights.
	rejected, total float64
	at              time.Time
	// others is the rate that other VMs reported at othersAt.
	others   float64
	othersAt time.Time
	// since is when a change to a notable rate was last reported; zero after the end was.
	since time.Time
}

// record counts a response.
func (r *rejections) record(now time.Time, rejected bool) {
	weight := math.Exp(-max(now.Sub(r.at), 0).Seconds() / rejectionTimeConstant.Seconds())
	r.rejected, r.total, r.at = r.rejected*weight, r.total*weight+1, now
	if rejected {
		r.rejected++
	}
}

// setOthers sets the rate that other VMs report; 0 if they report none.
func (r *rejections) setOthers(now time.Time, rate float64) {
	r.others, r.othersAt = rate, now
}

// own returns the rate by the responses to this VM only, which is what other VMs are told: what came from
// them must not return to them.
func (r *rejections) own(now time.Time) float64 {
	if r.rejected == 0 {
		return 0
	}
	rate, _ := r.weighted(now)
	return rate
}

// weighted returns the rate by the responses to this VM, and their weight against the rate of others. The rate falls with
// the time since the latest response, since an upstream that others are preferred to sends few.
func (r *rejections) weighted(now time.Time) (rate, weight float64) {
	if r.total == 0 {
		return 0, 0
	}
	fresh := weightAt(now, r.at)
	weight = r.total * fresh / (r.total*fresh + priorRequests)
	return weight * fresh * r.rejected / r.total, weight
}

// rate returns the part of the next requests that is expected to be rejected.
func (r *rejections) rate(now time.Time) float64 {
	if r.rejected == 0 && r.others == 0 {
		return 0
	}
	rate, weight := r.weighted(now)
	return rate + (1-weight)*r.others*weightAt(now, r.othersAt)
}

// notable returns the rate if the upstream ranks behind others because of it, otherwise 0.
func (r *rejections) notable(now time.Time) float64 {
	if rate := r.rate(now); rate > notableRejectionRate {
		return rate
	}
	return 0
}

// weightAt returns the weight of a rate by its age. It falls linearly, which takes less time to compute than an
// exponential: each choice among hundreds of upstreams needs it for all of them.
func weightAt(now, at time.Time) float64 {
	return 1 - min(max(float64(now.Sub(at))/float64(maxRejectionAge), 0), 1)
}
