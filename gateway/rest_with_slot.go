package gateway

import (
	"context"
	"io"
	"os"
	"sync"

	"github.com/juju/errors"
)

// restWithSlot is the remainder of a long response. It holds the slot at the upstream until it is
// closed, because the upstream is at work until then.
type restWithSlot struct {
	io.ReadCloser
	ctx context.Context
	// release returns the slot; cut says that the upstream did not complete the response, and endless
	// that it was still sending at the deadline.
	release func(cut, endless bool)

	cut, endless bool
	once         sync.Once
}

// Read implements io.Reader.
func (b *restWithSlot) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF && b.ctx.Err() == nil {
		b.cut, b.endless = true, errors.Is(err, os.ErrDeadlineExceeded) // not the caller's doing
	}
	return n, err
}

// Close closes the connection to the upstream and returns the slot.
func (b *restWithSlot) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.release(b.cut, b.endless) })
	return err
}
