package inventory

import "context"

// Lister reads the platform's list of upstreams.
type Lister interface {
	Upstreams(ctx context.Context) ([]Upstream, error)
	// Calls returns the number of requests that the last list took, at least 1.
	Calls() int
}
