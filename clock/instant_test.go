package clock_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/clock"
)

// Guards against a lease that stays valid after a VM suspension because the monotonic clock did not count it.
func TestElapsedCountsSuspension(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	start := c.Now()
	c.Suspend(5 * time.Second)
	is.Equal(c.Now().ElapsedSince(start), 5*time.Second)
	is.True(!c.Now().Before(start.Add(3 * time.Second)))
}

// Guards against extending a lease by setting the wall clock back.
func TestWallClockSetBackDoesNotExtend(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	start := c.Now()
	c.AdjustWall(-time.Hour)
	c.Advance(4 * time.Second)
	is.Equal(c.Now().ElapsedSince(start), 4*time.Second)
	is.True(!c.Now().Before(start.Add(3 * time.Second)))
}

func TestSystemClockMovesForward(t *testing.T) {
	is := is.New(t)
	c := clock.NewSystem()
	a := c.Now()
	b := c.Now()
	is.True(b.Mono >= a.Mono)
	is.True(b.Boot >= a.Boot)
}

// Guards against a boot-time reading that goes back while it is extrapolated from a
// cached sample, and against an elapsed time below that of the monotonic clock.
func TestSystemBootTimeFollowsMonotonic(t *testing.T) {
	is := is.New(t)
	c := clock.NewSystem()
	start := c.Now()
	last := start
	for last.Mono-start.Mono < 20*time.Millisecond {
		now := c.Now()
		is.True(now.Boot >= last.Boot-time.Millisecond)
		is.True(now.ElapsedSince(start) >= now.Mono-start.Mono)
		last = now
	}
}
