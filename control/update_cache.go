package control

import (
	"sync"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/store"
)

const (
	// maxCachedUpdates and maxCachedUpdateBytes limit the updates that are kept: VMs that were cut off
	// at different times have different revisions, and fetch chunks for some time.
	maxCachedUpdates     = 64
	maxCachedUpdateBytes = 8 << 20
)

// updateKey identifies an update. base is 0 for that of the whole state.
type updateKey struct {
	environment    apipb.Environment
	base, revision uint64
}

// updateCache keeps updates, since nearly all VMs need the same one after a change. It is safe for
// concurrent use. Its lock is held while an update is made, so that no two polls make the same.
type updateCache struct {
	mu      sync.Mutex
	updates map[updateKey]*stateUpdate
	oldest  []updateKey
	bytes   int
}

func newUpdateCache() *updateCache { return &updateCache{updates: map[updateKey]*stateUpdate{}} }

// get returns the update from a base, which may be nil, to a version.
func (c *updateCache) get(env apipb.Environment, base, version *store.Version) (*stateUpdate, error) {
	key := updateKey{environment: env, revision: version.Revision}
	if base != nil {
		key.base = base.Revision
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if update := c.updates[key]; update != nil {
		return update, nil
	}
	update, err := newStateUpdate(base, version)
	if err != nil {
		return nil, errors.Trace(err)
	}
	c.add(key, update)
	return update, nil
}

// lookup returns an update that was made before, or nil.
func (c *updateCache) lookup(key updateKey) *stateUpdate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.updates[key]
}

func (c *updateCache) add(key updateKey, update *stateUpdate) {
	c.updates[key] = update
	c.oldest = append(c.oldest, key)
	c.bytes += update.bytes()
	for len(c.oldest) > 1 && (len(c.oldest) > maxCachedUpdates || c.bytes > maxCachedUpdateBytes) {
		c.bytes -= c.updates[c.oldest[0]].bytes()
		delete(c.updates, c.oldest[0])
		c.oldest = c.oldest[1:]
	}
}
