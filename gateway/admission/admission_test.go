package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// bursts is load of 1.8 times the slots for 0.2 s, and of half of them for 0.3 s.
func bursts(since time.Duration) float64 {
	if since%(500*time.Millisecond) < 200*time.Millisecond {
		return 360
	}
	return 100
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func played(seed uint64, r replay) *replay {
	r.rng = rand.New(rand.NewPCG(seed, 1))
	r.run()
	return &r
}

// Guards against callers that are refused in a burst and come back only when their
// answer would be late.
func TestCallersOfABurstComeBackInTime(t *testing.T) {
	for seed := range uint64(3) {
		old := played(seed, replay{rate: bursts, length: 30 * time.Second, returnAfter: before})
		now := played(seed, replay{rate: bursts, length: 30 * time.Second, returnAfter: decided})
		t.Logf("seed %d: of %d in time %d before, %d now; late %d before, %d now",
			seed, sum(now.asked), sum(old.inTime), sum(now.inTime), sum(old.late), sum(now.late))
		is.New(t).True(sum(now.inTime) > sum(old.inTime))
	}
}

// Guards against callers that come back to VMs that still serve nobody after a restart
// of all, and have no further try.
func TestCallersOfAnOutageComeBackAfterIt(t *testing.T) {
	for seed := range uint64(3) {
		outage := replay{rate: steady(100), closed: 1500 * time.Millisecond, length: 1500 * time.Millisecond, returnAfter: before}
		old := played(seed, outage)
		outage.returnAfter = decided
		now := played(seed, outage)
		t.Logf("seed %d: of %d served %d before, %d now", seed, sum(now.asked), sum(old.late), sum(now.late))
		is.New(t).True(sum(now.late) > sum(old.late))
	}
}

// Guards against urgent requests that are turned away while less urgent ones are
// served, under load of twice the slots.
func TestUrgentRequestsGetRoomFirst(t *testing.T) {
	for seed := range uint64(3) {
		is := is.New(t)
		arrival := played(seed, replay{rate: steady(400), length: 20 * time.Second, returnAfter: decided, byArrival: true})
		ranked := played(seed, replay{rate: steady(400), length: 20 * time.Second, returnAfter: decided})
		t.Logf("seed %d: in time by rank %v by arrival, %v by rank, of %v", seed, arrival.inTime, ranked.inTime, ranked.asked)
		is.True(ranked.inTime[0] > arrival.inTime[0])
		is.True(ranked.inTime[0] > ranked.inTime[1] && ranked.inTime[1] > ranked.inTime[2])
		is.True(sum(ranked.inTime) > sum(arrival.inTime)*9/10) // the order costs no room
	}
}

// Guards against a wait beyond what callers honour, and against one that is not spread.
func TestReturnsAreSpreadWithinWhatCallersHonour(t *testing.T) {
	is := is.New(t)
	for _, left := range []time.Duration{0, 100 * time.Millisecond, time.Second, 30 * time.Second} {
		for _, spare := range []time.Duration{-time.Second, 0, 300 * time.Millisecond} {
			r := Refused{Left: left, Spare: spare}
			for _, after := range []func(float64) time.Duration{
				func(u float64) time.Duration { return AfterFull(r, u) },
				func(u float64) time.Duration { return AfterOutage(r, u) },
				func(u float64) time.Duration { return AfterRate(r, 50*time.Millisecond, u) },
			} {
				is.True(after(0) >= minReturn)
				is.True(after(1) <= max(left/3, minReturn))
				is.True(left < time.Second || after(1) > after(0))
			}
		}
	}
}

// Guards against a wait that goes on after the deadline, or begins anew at a second try.
func TestWaitEndsWithTheDeadline(t *testing.T) {
	is := is.New(t)
	is.Equal(HoldUntil(start, start, start.Add(time.Second), 400*time.Millisecond), start.Add(50*time.Millisecond))
	is.Equal(HoldUntil(start, start, start.Add(30*time.Millisecond), 400*time.Millisecond), start.Add(30*time.Millisecond))
	again := start.Add(80 * time.Millisecond)
	is.Equal(HoldUntil(start, again, start.Add(time.Second), 400*time.Millisecond), again)
	is.Equal(HoldUntil(start, start, start.Add(time.Second), 0), start.Add(minHold))
}
