// Package headlimit bounds the bytes of message heads: status or request lines, headers and
// interim responses.
package headlimit

import (
	"io"

	"github.com/juju/errors"
)

// MaxBytes is the largest head, in bytes, that is read from upstreams, other daemons, the platform
// and operators. The limit for callers is part of the plan.
const MaxBytes = 64 << 10

// ErrTooLarge is returned if a head exceeds its limit.
const ErrTooLarge = errors.ConstError("message head too large")

// Reader limits the bytes that are read while a head is parsed. It is not safe for concurrent use.
type Reader struct {
	r      io.Reader
	left   int
	active bool
}

// NewReader returns a reader without a limit in force.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// Limit allows at most n further bytes. A buffered reader on top may hold more bytes than that.
func (l *Reader) Limit(n int) { l.left, l.active = n, true }

// Lift removes the limit, once the head has been parsed.
func (l *Reader) Lift() { l.active = false }

// Read implements io.Reader.
func (l *Reader) Read(p []byte) (int, error) {
	if !l.active {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		return 0, ErrTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
