package inventory

import "context"

// Lister reads the list of upstreams of a platform.
type Lister interface {
	Upstreams(ctx context.Context) ([]Upstream, error)
}
