package clock

import "time"

// Instant is one reading of all clocks of a process. Instants of two processes
// cannot be compared.
type Instant struct {
	// Mono counts from an arbitrary origin and may stop while the VM is suspended.
	Mono time.Duration
	// Boot counts from an arbitrary origin, suspension included.
	Boot time.Duration
	// Wall counts from the Unix epoch and may be set forward or back.
	Wall time.Duration
}

// ElapsedSince returns the time that passed since earlier: the largest that any
// of the clocks shows. A wall clock that was set back has no effect; one that
// was set forward makes leases end early, which is safe.
func (i Instant) ElapsedSince(earlier Instant) time.Duration {
	return max(i.Mono-earlier.Mono, i.Boot-earlier.Boot, i.Wall-earlier.Wall)
}

// Add returns the instant d later on all clocks.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{Mono: i.Mono + d, Boot: i.Boot + d, Wall: i.Wall + d}
}

// Before reports whether i is before deadline on every clock. A deadline that
// has passed on one clock has passed.
func (i Instant) Before(deadline Instant) bool {
	return i.Mono < deadline.Mono && i.Boot < deadline.Boot && i.Wall < deadline.Wall
}
