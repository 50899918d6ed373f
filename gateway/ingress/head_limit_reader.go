package ingress

import (
	"io"

	"github.com/juju/errors"
)

// errHeaderTooLarge is returned if a request head exceeds the limit.
const errHeaderTooLarge = errors.ConstError("request head too large")

// headLimitReader limits the number of bytes read while a request head is parsed.
type headLimitReader struct {
	r      io.Reader
	left   int
	active bool
}

func (b *headLimitReader) Read(p []byte) (int, error) {
	if b.active && b.left <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := b.r.Read(p)
	if b.active {
		b.left -= n
	}
	return n, err
}
