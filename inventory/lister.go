package inventory

import "context"

// Lister reads the list of upstreams of a platform.
type Lister interface {
	Upstreams(ctx context.Context) ([]Upstream, error)
	// Calls returns how many calls the last list took, at least 1.
	Calls() int
}
