package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxBootSampleAge bounds how long the boot-time clock is extrapolated from a
	// sample by the monotonic clock. Each reading takes a system call, which was
	// half of the cost of a routing decision. Leases have a margin of 60 ms for
	// clock drift, which covers detecting a suspension up to 5 ms late.
	maxBootSampleAge = 5 * time.Millisecond
	// wallJumpThreshold is the change of the offset between wall and monotonic clock
	// that indicates a suspension. It invalidates the sample before maxBootSampleAge.
	wallJumpThreshold = time.Millisecond
)

// System reads the clocks of the operating system.
type System struct {
	origin time.Time
	// ignoreWall makes Now return the boot-time reading as the wall reading.
	ignoreWall bool
	sample     atomic.Pointer[bootSample]
}

// bootSample is a simultaneous reading of the three clocks.
type bootSample struct {
	mono       time.Duration
	boot       time.Duration
	wallOffset time.Duration // wall minus monotonic
}

// NewSystem returns a clock whose monotonic origin is now.
func NewSystem() *System {
	return &System{origin: time.Now()}
}

// NewSystemWithoutWall returns a clock that ignores the wall clock and uses the
// boot-time reading in its place. It is for VMs whose wall clock jumps by seconds,
// which would expire every lease and start elections. The boot-time clock still
// detects suspensions.
func NewSystemWithoutWall() *System {
	return &System{origin: time.Now(), ignoreWall: true}
}

// Now returns the current instant. If the boot-time clock cannot be read, the
// monotonic reading is used for it.
func (s *System) Now() Instant {
	now := time.Now()
	mono := now.Sub(s.origin)
	wall := time.Duration(now.UnixNano())
	boot := s.boot(mono, wall)
	if s.ignoreWall {
		wall = boot
	}
	return Instant{Mono: mono, Boot: boot, Wall: wall}
}

// boot returns the boot-time reading, extrapolated from the last sample if that is
// recent and the wall clock has not jumped since.
func (s *System) boot(mono, wall time.Duration) time.Duration {
	offset := wall - mono
	last := s.sample.Load()
	if last != nil && mono-last.mono < maxBootSampleAge && (offset-last.wallOffset).Abs() < wallJumpThreshold {
		return last.boot + max(0, mono-last.mono)
	}
	boot := readBootTime(mono)
	s.sample.Store(&bootSample{mono: mono, boot: boot, wallOffset: offset})
	return boot
}

// readBootTime reads the boot-time clock and returns fallback if that fails.
func readBootTime(fallback time.Duration) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return fallback
	}
	return time.Duration(ts.Nano())
}
