package sanitize

import "github.com/juju/errors"

const (
	// ErrMalformedTarget reports a request target that is malformed, or that an upstream
	// with other normalisation rules could resolve to another path.
	ErrMalformedTarget = errors.ConstError("malformed request target")
	// ErrKeyInQuery reports an API key parameter in the query.
	ErrKeyInQuery = errors.ConstError("API key in the query")
	// ErrKeyMissing reports a request without an API key.
	ErrKeyMissing = errors.ConstError("no API key")
	// ErrKeyAmbiguous reports more than one key header or value.
	ErrKeyAmbiguous = errors.ConstError("more than one API key")
)
