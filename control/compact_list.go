package control

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/inventory"
)

// compactListAge is how long an encoded list is sent while its version is the newest. The times for
// which upstreams stay cold are as old as that.
const compactListAge = 500 * time.Millisecond

// compactList is the whole list of upstreams, encoded once for all VMs that need it: after a change of
// the leader, those are all.
type compactList struct {
	mu        sync.Mutex
	version   uint64
	encodedAt clock.Instant
	raw       []byte
}

// get returns the encoded list and its version.
func (c *compactList) get(list *inventory.VersionedList, now clock.Instant) (raw []byte, version uint64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := list.Version()
	if c.raw != nil && c.version == newest && now.ElapsedSince(c.encodedAt) < compactListAge {
		return c.raw, c.version, nil
	}
	upstreams, _, _, _ := list.Changes(0)
	raw, err = inventory.EncodeCompact(upstreams)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	c.raw, c.version, c.encodedAt = raw, newest, now
	return raw, newest, nil
}
