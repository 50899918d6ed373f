package control

import (
	"bytes"
	"sync"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/plan"
)

// planSource keeps the source of the newest plan as its operator sent it, which may be read several times a
// second. It is safe for concurrent use.
type planSource struct {
	mu                 sync.Mutex
	compressed, source []byte
}

// decompress returns the source, which must not be modified.
func (p *planSource) decompress(compressed []byte) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.source != nil && bytes.Equal(p.compressed, compressed) {
		return p.source, nil
	}
	source, err := plan.Decompress(compressed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	p.compressed, p.source = compressed, source
	return source, nil
}
