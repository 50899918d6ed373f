package gateway

import (
	"context"
	"io"
	"sync"
)

// restWithSlot is the remainder of a long response. It holds the slot at the upstream until it is
// closed, because the upstream is at work until then.
type restWithSlot struct {
	io.ReadCloser
	ctx context.Context
	// release returns the slot; cut says that the upstream did not complete the response in time.
	release func(cut bool)

	cut  bool
	once sync.Once
}

// Read implements io.Reader.
func (b *restWithSlot) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF && b.ctx.Err() == nil {
		b.cut = true // not the caller's doing
	}
	return n, err
}

// Close closes the connection to the upstream and returns the slot.
func (b *restWithSlot) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.release(b.cut) })
	return err
}
