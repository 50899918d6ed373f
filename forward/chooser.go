package forward

import "time"

// Upstream is one server of a service.
type Upstream struct {
	Name, Address, Region string
	// Handle is for the Chooser that picked the upstream. The upstream may have been
	// removed and added again under its name before the attempt is reported.
	Handle any
}

// Chooser chooses regions and upstreams. Implementations must be safe for concurrent use.
type Chooser interface {
	// Regions appends the regions to try to dst, the preferred one first.
	Regions(dst []string, q Query) []string
	// Pick returns an upstream of the region that is not excluded. Each picked upstream is
	// reported exactly once.
	Pick(q Query, region string, excluded []string) (Upstream, bool)
	Report(q Query, u Upstream, r Report)
	// HedgeDelay returns how long to wait before a second attempt; 0 disables hedging.
	HedgeDelay(q Query) time.Duration
	// TryRetry takes one attempt beyond the first from the retry budget.
	TryRetry(service string) bool
}
