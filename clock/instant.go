package clock

import "time"

// Instant is a simultaneous reading of the monotonic, boot-time and wall clocks of
// a process. Instants of different processes are not comparable.
type Instant struct {
	// Mono counts from an arbitrary origin and may stop while the VM is suspended.
	Mono time.Duration
	// Boot counts from an arbitrary origin and includes time in which the VM is suspended.
	Boot time.Duration
	// Wall counts from the Unix epoch and may be set forward or back.
	Wall time.Duration
}

// ElapsedSince returns the time elapsed since earlier, which is the largest of the
// differences of the three clocks. A wall clock that was set back has no effect;
// one that was set forward makes leases expire early, which is safe.
func (i Instant) ElapsedSince(earlier Instant) time.Duration {
	return max(i.Mono-earlier.Mono, i.Boot-earlier.Boot, i.Wall-earlier.Wall)
}

// Add returns the instant d later on all clocks.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{Mono: i.Mono + d, Boot: i.Boot + d, Wall: i.Wall + d}
}

// Before reports whether i is before deadline on every clock. A deadline counts as
// passed as soon as one clock has reached it.
func (i Instant) Before(deadline Instant) bool {
	return i.Mono < deadline.Mono && i.Boot < deadline.Boot && i.Wall < deadline.Wall
}
