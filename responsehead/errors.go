package responsehead

import "github.com/juju/errors"

// ErrInvalid is returned for a status line that begins no response: the version is not HTTP/1.0 or HTTP/1.1, the status is
// not three digits from 100 to 599, or it is 101, since no request of this project asks for an upgrade.
const ErrInvalid = errors.ConstError("invalid status line")
