package control

import (
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/plan"
	"pistachiomount.example/pistachiomount/store"
)

const (
	// maxInlineUpdateBytes is the size of the largest update that a poll is answered with. It takes a
	// sixth of pollTimeout on a link of 2 Mbit/s.
	maxInlineUpdateBytes = 64 << 10
	// updateChunkBytes is the size of one chunk of a longer update.
	updateChunkBytes = 64 << 10
)

// stateUpdate is what turns one version of a state into another.
type stateUpdate struct {
	// sections are the steps of an update that a poll is answered with.
	sections []*apipb.Section
	// compressed holds the steps of a longer update, which is fetched in chunks.
	compressed []byte
}

// newStateUpdate returns the update from a base, or of the whole state if the base is nil.
func newStateUpdate(base, version *store.Version) (*stateUpdate, error) {
	sections := []*apipb.Section{{Data: version.Raw}}
	if base != nil {
		sections = document.Delta(base.Raw, version.Raw)
	}
	update := &apipb.Update{Sections: sections}
	if proto.Size(update) <= maxInlineUpdateBytes {
		return &stateUpdate{sections: sections}, nil
	}
	raw, err := proto.Marshal(update)
	if err != nil {
		return nil, errors.Trace(err)
	}
	compressed, err := plan.Compress(raw)
	return &stateUpdate{compressed: compressed}, errors.Trace(err)
}

// chunks returns the number of chunks, 0 if a poll is answered with the update.
func (u *stateUpdate) chunks() uint32 {
	return uint32((len(u.compressed) + updateChunkBytes - 1) / updateChunkBytes)
}

// chunk returns the chunk with a number below chunks.
func (u *stateUpdate) chunk(number uint32) []byte {
	start := int(number) * updateChunkBytes
	return u.compressed[start:min(start+updateChunkBytes, len(u.compressed))]
}

// bytes returns the memory that the update takes.
func (u *stateUpdate) bytes() int {
	n := len(u.compressed)
	for _, s := range u.sections {
		n += len(s.Data)
	}
	return n
}
