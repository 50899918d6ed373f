package inventory

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"pistachiomount.example/pistachiomount/clock"
)

// coldTolerance is how far a cold time may differ from its expected value, the last
// one minus the elapsed time, without counting as a change.
const coldTolerance = 500 * time.Millisecond

// VersionedList is the list of upstreams with a version for each change, so that other
// daemons receive only what has changed. It is safe for concurrent use.
type VersionedList struct {
	clock clock.Clock

	mu          sync.Mutex
	version     uint64
	baseVersion uint64 // the version before the first list
	entries     map[string]*versionedUpstream
	removed     map[string]uint64 // the versions at which upstreams were removed
	fetchedAt   clock.Instant
	fetched     bool
}

type versionedUpstream struct {
	upstream       Upstream
	fetchedAt      clock.Instant
	changedVersion uint64
}

// NewVersionedList returns an empty list whose versions are above the given one.
func NewVersionedList(version uint64, c clock.Clock) *VersionedList {
	return &VersionedList{
		clock: c, version: version, baseVersion: version, entries: map[string]*versionedUpstream{}, removed: map[string]uint64{},
	}
}

// Update replaces the list by one that was requested at the given instant.
func (l *VersionedList) Update(list []Upstream, requestedAt clock.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fetchedAt, l.fetched = requestedAt, true
	next := l.version + 1
	listed := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
		if e := l.entries[u.ID]; e == nil || e.changed(u, requestedAt) {
			l.entries[u.ID] = &versionedUpstream{upstream: u, fetchedAt: requestedAt, changedVersion: next}
			delete(l.removed, u.ID)
			l.version = next
		}
	}
	for id := range l.entries {
		if !listed[id] {
			delete(l.entries, id)
			l.removed[id] = next
			l.version = next
		}
	}
	if l.version == l.baseVersion {
		l.version = next // an empty first list also needs a version of its own
	}
}

func (e *versionedUpstream) changed(u Upstream, now clock.Instant) bool {
	expected := max(0, e.upstream.Cold-now.ElapsedSince(e.fetchedAt))
	cold := u.Cold
	u.Cold = e.upstream.Cold
	return u != e.upstream || (cold-expected).Abs() > coldTolerance
}

// Changes returns what has changed since a version: upstreams that are new or
// changed, and the ids of those that were removed. full is set if all upstreams are
// returned because the version is not from this list. ok is false before the first Update.
func (l *VersionedList) Changes(since uint64) (changed []Upstream, removed []string, full, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.fetched {
		return nil, nil, false, false
	}
	full = since <= l.baseVersion || since > l.version
	now := l.clock.Now()
	for _, e := range l.entries {
		if full || e.changedVersion > since {
			u := e.upstream
			u.Cold = max(0, u.Cold-now.ElapsedSince(e.fetchedAt))
			changed = append(changed, u)
		}
	}
	for id, at := range l.removed {
		if !full && at > since {
			removed = append(removed, id)
		}
	}
	slices.SortFunc(changed, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	slices.Sort(removed)
	return changed, removed, full, true
}

// NeedsWhole reports whether the changes since a version are not known.
func (l *VersionedList) NeedsWhole(since uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return since <= l.baseVersion || since > l.version
}

// Version returns the current version.
func (l *VersionedList) Version() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version
}

// BaseVersion returns the version before the first list.
func (l *VersionedList) BaseVersion() uint64 { return l.baseVersion }

// Age returns the time since the request for the newest list.
func (l *VersionedList) Age() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock.Now().ElapsedSince(l.fetchedAt)
}
