package steering

import "github.com/juju/errors"

const (
	// ErrInvalidConfig is returned for a configuration that cannot be applied.
	ErrInvalidConfig = errors.ConstError("invalid steering configuration")
	// ErrEmptyUpstreams is returned for an empty upstream list while upstreams are known.
	// Such a list is treated as a platform fault and ignored, because applying it would
	// stop all traffic.
	ErrEmptyUpstreams = errors.ConstError("upstream list is empty")
	// ErrNoRule is returned when no rule covers a request.
	ErrNoRule = errors.ConstError("no steering rule matches the request")
)
