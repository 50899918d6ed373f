package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"pistachiomount.example/pistachiomount/inventory"
)

// upstream is one upstream as this VM sees it.
type upstream struct {
	inventory.Upstream
	hash uint64

	// own counts the requests of this VM that run there.
	own int
	// others is the load of other VMs as of othersAt.
	others   float64
	othersAt time.Time

	bad, slow float64 // moving averages
	judgedAt  time.Time

	ejectedUntil time.Time
	ejection     time.Duration
	probing      bool

	coldUntil  time.Time
	coldTokens float64
	coldAt     time.Time
}

func newUpstream(u inventory.Upstream) *upstream {
	return &upstream{Upstream: u, hash: xxhash.Sum64String(u.ID), slow: 1}
}

// usable reports whether the list offers the upstream for use.
func (u *upstream) usable() bool { return u.State == inventory.Live }

// load returns the estimated number of requests there.
func (u *upstream) load(now time.Time) float64 {
	age := now.Sub(u.othersAt)
	if age < 0 {
		age = 0
	}
	return float64(u.own) + u.others*math.Exp2(-float64(age)/float64(othersHalfLife))
}

// degraded reports whether the upstream should be used only when no other has room.
func (u *upstream) degraded(now time.Time) bool {
	return now.Sub(u.judgedAt) < judgementTime && (u.bad > badShare || u.slow > slowRatio)
}

func (u *upstream) cold(now time.Time) bool { return now.Before(u.coldUntil) }

// score orders upstreams for one object: rendezvous hashing.
func (u *upstream) score(object uint64) uint64 {
	x := object ^ u.hash
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// report takes in what an answer says of the load.
func (u *upstream) report(now time.Time, o Outcome) {
	if !o.Reported {
		return
	}
	// The report counts the request that it answers.
	u.others = math.Max(0, float64(o.Running+o.Waiting-1-u.own))
	u.othersAt = now
}

// judge takes in how a request went.
func (u *upstream) judge(now time.Time, o Outcome) {
	if now.Sub(u.judgedAt) >= judgementTime {
		u.bad, u.slow = 0, 1
	}
	u.judgedAt = now
	failed := 0.0
	if o.Failed || o.Unreachable {
		failed = 1
	}
	u.bad += averageWeight * (failed - u.bad)
	if o.LatencyRatio > 0 {
		u.slow += averageWeight * (math.Min(o.LatencyRatio, maxTook) - u.slow)
	}
}

// eject leaves the upstream alone until a probe finds it well.
func (u *upstream) eject(now time.Time) {
	u.ejection = min(max(2*u.ejection, firstEjection), maxEjection)
	u.ejectedUntil = now.Add(u.ejection)
	u.probing = true
}
