package forward

import (
	"context"

	"pistachiomount.example/pistachiomount/grant"
)

// RegionGrants enforces the request rates of regions.
type RegionGrants interface {
	TryTake(region, service string) (grant.Reservation, bool)
	// Refund returns the reservation of a request that was never sent.
	Refund(region, service string, taken grant.Reservation)
}

// LinkGrants enforces the byte rates of the links between regions, one for each direction.
type LinkGrants interface {
	// Wait charges n bytes and waits until they may be sent or the context ends. If it
	// returns an error, nothing stays charged.
	Wait(ctx context.Context, from, to string, n int) (grant.Reservation, error)
	// Refund returns n of the charged bytes, which were not transferred.
	Refund(from, to string, charged grant.Reservation, n int)
}
