package gateway

import (
	"context"
	"io"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// restWithSlot is the remainder of a long response. It holds the slot at the upstream until it is
// closed, because the upstream is at work until then.
type restWithSlot struct {
	io.ReadCloser
	ctx context.Context
	// deadline is when reading ends.
	deadline time.Time
	// release returns the slot; cut says that the upstream did not complete the response, and endless
	// that it was still sending at the deadline.
	release func(cut, endless bool)

	cut, endless bool
	once         sync.Once
}

// Read implements io.Reader.
func (b *restWithSlot) Read(p []byte) (int, error) {
	began := time.Now()
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF && b.ctx.Err() == nil { // otherwise the caller left
		b.recordFailure(began, errors.Is(err, os.ErrDeadlineExceeded))
	}
	return n, err
}

// recordFailure records how the upstream failed. A read that began after the deadline fails although the upstream may
// have sent everything: this VM or the caller was late.
func (b *restWithSlot) recordFailure(began time.Time, timedOut bool) {
	if !timedOut || began.Before(b.deadline) {
		b.cut, b.endless = true, timedOut
	}
}

// Close closes the connection to the upstream and returns the slot.
func (b *restWithSlot) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.release(b.cut, b.endless) })
	return err
}
