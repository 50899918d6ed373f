package grant

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/clock"
)

func laterProcess(c clock.Clock, vm string, incarnation uint64) (*Holder, *Bucket) {
	h := NewHolder(HolderConfig{VM: vm, Incarnation: incarnation}, c)
	return h, h.Bucket(simRate)
}

// takeAll takes single tokens until there are none and returns how many there were.
func takeAll(b *Bucket) (taken int) {
	for b.TryTake(1) {
		taken++
	}
	return taken
}

// Guards against callers within their rate being rejected for as long again as an outage lasted: after
// a loss of all power, shares of rates started without tokens although nothing had been admitted.
func TestFirstSharesAfterALossOfAllPowerHaveTheTokensOfTheOutage(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	o := newSuccessor(&c, map[string]uint64{"a": 1, "b": 7})
	a, bucketA := laterProcess(&c, "a", 2)
	b, bucketB := laterProcess(&c, "b", 8)
	c.Advance(200 * time.Millisecond)
	is.NoErr(exchange(a, o))
	c.Advance(200 * time.Millisecond)
	is.NoErr(exchange(b, o))
	is.NoErr(exchange(a, o))
	is.NoErr(exchange(b, o))
	got := takeAll(bucketA) + takeAll(bucketB)
	const accrued = 40 // 100 a second
	is.True(got <= accrued)
	is.True(got > accrued*3/4)
	is.NoErr(exchange(b, o))
	is.NoErr(exchange(a, o))
	is.True(takeAll(bucketA)+takeAll(bucketB) == 0) // only once
}

// Guards against tokens of an outage granted again to a VM that comes later, which would exceed the rate.
func TestTokensOfAnOutageAreGrantedOnce(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	o := newSuccessor(&c, map[string]uint64{"a": 1})
	a, bucketA := laterProcess(&c, "a", 2)
	c.Advance(500 * time.Millisecond)
	is.NoErr(exchange(a, o))
	is.NoErr(exchange(a, o))
	taken := takeAll(bucketA)
	is.True(taken > 40) // 100 a second
	b, bucketB := laterProcess(&c, "b", 1)
	for range 4 {
		is.NoErr(exchange(b, o))
		is.NoErr(exchange(a, o))
		taken += takeAll(bucketA) + takeAll(bucketB)
	}
	is.True(bucketB.Depth() > 0)
	is.True(taken <= 50)
}

// Guards against tokens of a time in which a process admitted requests, or may have.
func TestTokensOfAnOutageNeedProofThatNothingWasAdmitted(t *testing.T) {
	for name, c := range map[string]struct {
		incarnation uint64 // of the process of b that reports
		age         time.Duration
		silent      bool // b does not report, and the grace period ends with the lease
	}{
		"the process goes on":                      {incarnation: 7, age: time.Second},
		"the process was replaced only now":        {incarnation: 8},
		"nobody knows what became of the process":  {silent: true},
		"an earlier process than the expected one": {incarnation: 6, age: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var clk clock.Manual
			o := newSuccessor(&clk, map[string]uint64{"a": 1, "b": 7})
			a, bucketA := laterProcess(&clk, "a", 2)
			clk.Advance(time.Second - c.age)
			b, bucketB := laterProcess(&clk, "b", c.incarnation)
			clk.Advance(c.age)
			is.NoErr(exchange(a, o))
			if c.silent {
				clk.Advance(DefaultLease)
			} else {
				_ = exchange(b, o)
			}
			const perStep = 20 // tokens that accrue in 200 ms
			taken := 0
			for step := range 20 {
				_ = exchange(a, o) // the owner may ask for a full request first
				_ = exchange(b, o)
				taken += takeAll(bucketA) + takeAll(bucketB)
				is.True(taken <= perStep*step+1)
				clk.Advance(200 * time.Millisecond)
			}
			is.True(taken > 0)
		})
	}
}

// centralBucket is one bucket of the whole rate and burst, the bound for all holders together.
type centralBucket struct {
	tokens float64
	at     time.Duration
}

func (b *centralBucket) take(now time.Duration, taken int, limit Cap) float64 {
	b.tokens = math.Min(limit.Burst, b.tokens+limit.Rate*(now-b.at).Seconds())
	b.at = now
	b.tokens -= float64(taken)
	return b.tokens
}

// Guards against a rate exceeded after a loss of all power, for VMs that return and report in any order
// while their earlier processes admitted all that they could until they ended.
func TestRateHoldsThroughALossOfAllPower(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var c clock.Manual
		now := time.Duration(0)
		limit := simCaps()[0]
		central := centralBucket{tokens: limit.Burst}
		o := newTestOwner(&c, 1)
		const vms = 4
		names := []string{"a", "b", "c", "d"}
		holders, buckets, back := make([]*Holder, vms), make([]*Bucket, vms), make([]time.Duration, vms)
		expected := map[string]uint64{}
		for i, name := range names {
			holders[i], buckets[i] = laterProcess(&c, name, 1)
			expected[name] = 1
			back[i] = 3*time.Second + time.Duration(rng.IntN(1500))*time.Millisecond
		}
		elected := 3*time.Second + time.Duration(rng.IntN(1500))*time.Millisecond
		for ; now < 10*time.Second; now += 20 * time.Millisecond {
			if now >= elected && expected != nil {
				o, expected = newSuccessor(&c, expected), nil
			}
			for i, name := range names {
				if back[i] > 0 && now >= back[i] {
					holders[i], buckets[i] = laterProcess(&c, name, 2)
					back[i] = 0
				}
				running := now < 3*time.Second+time.Duration(i*100)*time.Millisecond || back[i] == 0
				if !running {
					continue
				}
				if rng.IntN(8) == 0 && (now < 3*time.Second || expected == nil) {
					_ = exchange(holders[i], o) // an outdated reply changes nothing
				}
				if left := central.take(now, takeAll(buckets[i]), limit); left < -1 {
					t.Fatalf("seed %d: %.1f tokens above the rate and burst at %v", seed, -left, now)
				}
			}
			c.Advance(20 * time.Millisecond)
		}
	}
}
