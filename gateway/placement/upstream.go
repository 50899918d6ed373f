package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"pistachiomount.example/pistachiomount/inventory"
)

// upstream is the state of one upstream as seen by this VM.
type upstream struct {
	inventory.Upstream
	hash uint64

	// local, candidate and acceptsRemote are kept by Table.updateCapacity, since looking them up by
	// name for each request and upstream takes most of the time of a choice: whether the upstream is in
	// the region of this VM, objects are assigned to it, and its region accepts requests of others.
	local, candidate, acceptsRemote bool

	// announced is nil until the upstream announces something, since each choice reads it.
	announced *announced
	// paced is nil for an upstream at its full share, for the same reason.
	paced *paced
	// runSince is when this VM learnt of the upstream's current run; zero if it ran before this VM did.
	runSince time.Time

	// recent is what the latest responses say about rejections and the speed of the machine.
	recent recent

	// inFlight counts the requests of this VM at the upstream.
	inFlight int
	// otherLoad is the load of other VMs as of otherLoadAt.
	otherLoad   float64
	otherLoadAt time.Time

	failureRate, latencyRatio float64 // moving averages
	outcomeAt                 time.Time

	ejectedUntil   time.Time
	ejectionPeriod time.Duration
	ejected        bool

	coldUntil  time.Time
	coldTokens float64
	coldAt     time.Time
}

func newUpstream(u inventory.Upstream) *upstream {
	return &upstream{Upstream: u, hash: xxhash.Sum64String(u.ID), latencyRatio: 1}
}

// usable reports whether the upstream list marks the upstream as live.
func (u *upstream) usable() bool { return u.State == inventory.Live }

// load returns the estimated number of requests at the upstream.
func (u *upstream) load(now time.Time) float64 {
	age := now.Sub(u.otherLoadAt)
	if age < 0 {
		age = 0
	}
	return float64(u.inFlight) + u.otherLoad*math.Exp2(-float64(age)/float64(otherLoadHalfLife))
}

// degraded reports whether the upstream should be used only if no other has capacity.
func (u *upstream) degraded(now time.Time) bool {
	return now.Sub(u.outcomeAt) < degradedTimeout &&
		(u.failureRate > degradedFailureRate || u.latencyRatio > degradedLatencyRatio)
}

// failing reports whether the slots of the upstream count as lost.
func (u *upstream) failing() bool { return u.failureRate > failingRate }

func (u *upstream) cold(now time.Time) bool { return now.Before(u.coldUntil) }

// score ranks upstreams for one object by rendezvous hashing.
func (u *upstream) score(object uint64) uint64 {
	x := object ^ u.hash
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// recordLoad updates the load of other VMs from the report in a response.
func (u *upstream) recordLoad(now time.Time, o Outcome) {
	if !o.Reported {
		return
	}
	// The report includes the request that it answers.
	u.otherLoad = math.Max(0, float64(o.Running+o.Waiting-1-u.inFlight))
	u.otherLoadAt = now
}

// recordOutcome updates the moving averages of failures and latency, that of failures with the given
// weight.
func (u *upstream) recordOutcome(now time.Time, o Outcome, weight float64) {
	if now.Sub(u.outcomeAt) >= degradedTimeout {
		u.failureRate, u.latencyRatio = 0, 1
	}
	u.outcomeAt = now
	failed := 0.0
	if o.Failed || o.Unreachable || o.Unconnected {
		failed = 1
	}
	u.failureRate += weight * (failed - u.failureRate)
	if o.Endless {
		u.failureRate = 1
	}
	if o.LatencyRatio > 0 {
		// What the reported slowness explains ends with it; the average would last for seconds.
		// The ratio is bounded first, so that one response of a very slow machine does not degrade the upstream.
		ratio := math.Min(o.LatencyRatio, maxLatencyRatio) / o.explainedSlowness()
		u.latencyRatio += averageWeight * (ratio - u.latencyRatio)
	}
}

// eject excludes the upstream until a probe succeeds, with exponential backoff up to the
// longest time.
func (u *upstream) eject(now time.Time, longest time.Duration) {
	u.ejectionPeriod = min(max(2*u.ejectionPeriod, firstEjection), longest)
	u.ejectedUntil = now.Add(u.ejectionPeriod)
	u.ejected = true
}
