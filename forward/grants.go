package forward

import "context"

// RegionGrants holds the request rates of regions.
type RegionGrants interface {
	TryTake(region, service string) bool
	// Refund gives back one request that was never sent.
	Refund(region, service string)
}

// LinkGrants holds the byte rates of links, one per direction.
type LinkGrants interface {
	// Wait charges n bytes, waiting until they may pass or the context ends.
	// It charges nothing if it returns an error.
	Wait(ctx context.Context, from, to string, n int) error
	// Refund gives back charged bytes that did not pass.
	Refund(from, to string, n int)
}
