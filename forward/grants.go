package forward

import (
	"context"

	"pistachiomount.example/pistachiomount/grant"
)

// RegionGrants holds the request rates of regions.
type RegionGrants interface {
	TryTake(region, service string) (grant.Reservation, bool)
	// Refund gives back a request that was never sent.
	Refund(region, service string, taken grant.Reservation)
}

// LinkGrants holds the byte rates of links, one per direction.
type LinkGrants interface {
	// Wait charges n bytes, waiting until they may pass or the context ends.
	// With an error, nothing is held for the request.
	Wait(ctx context.Context, from, to string, n int) (grant.Reservation, error)
	// Refund gives back n of the charged bytes, which did not pass.
	Refund(from, to string, charged grant.Reservation, n int)
}
