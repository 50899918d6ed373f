package sanitize

import "github.com/juju/errors"

const (
	// ErrMalformedTarget reports a request target that is malformed or could mean
	// another path to an upstream that normalises differently.
	ErrMalformedTarget = errors.ConstError("malformed request target")
	// ErrKeyInQuery reports a key parameter in the query.
	ErrKeyInQuery = errors.ConstError("key in the query")
	// ErrKeyMissing reports that the request has no key.
	ErrKeyMissing = errors.ConstError("no key")
	// ErrKeyAmbiguous reports several key headers or values.
	ErrKeyAmbiguous = errors.ConstError("more than one key")
)
