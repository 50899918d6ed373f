package wal

import (
	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
)

// SaveSnapshot makes a snapshot durable and then removes the segments and
// snapshots that it covers. If the log contains the entry at the snapshot's index
// and term, later entries are kept; otherwise the snapshot came from the leader
// and replaces the whole log. A snapshot that is not newer than the last one is
// ignored.
func (l *Log) SaveSnapshot(s *apipb.Snapshot) error {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	if obsolete, err := l.isObsoleteSnapshot(s); obsolete || err != nil {
		return err
	}
	index := s.GetMeta().GetIndex()
	data, err := appendFrame(nil, newSalt(l.Identity().MemberID, index), s)
	if err != nil {
		return err
	}
	err = writeFileAtomically(l.fs, l.dir, snapshotName(index), data)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure != nil {
		return l.failure
	}
	if err != nil {
		return l.fail("saving snapshot", err)
	}
	return l.fail("recording snapshot", l.markSnapshot(s.GetMeta()))
}

func (l *Log) isObsoleteSnapshot(s *apipb.Snapshot) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure != nil {
		return false, l.failure
	}
	if s.GetMeta().GetIndex() == 0 {
		return false, errors.Annotate(ErrNotContiguous, "snapshot without an index")
	}
	return s.GetMeta().GetIndex() <= l.snapshotIndex, nil
}

// markSnapshot writes the snapshot mark at the beginning of a new segment, so that
// it is kept when the segments that the snapshot covers are removed.
func (l *Log) markSnapshot(meta *apipb.SnapshotMeta) error {
	index := meta.GetIndex()
	mark := &apipb.SnapshotMark{Index: index, Term: meta.GetTerm(), Discard: !l.terms.containsEntry(index, meta.GetTerm())}
	if err := l.rotateSegment(); err != nil {
		return err
	}
	if err := l.write(&apipb.WalRecord{Snapshot: mark}); err != nil {
		return err
	}
	old := l.snapshotIndex
	l.snapshotIndex = index
	if mark.GetDiscard() {
		l.terms.reset(index)
	} else {
		l.terms.discardThrough(index)
	}
	l.removeSegments(mark.GetDiscard())
	if old > 0 {
		l.removeSnapshots([]uint64{old})
	}
	return nil
}

// removeSegments removes the segments that the snapshot covers, oldest first. It
// syncs each removal before the next, so that a crash leaves no gap. If a file
// cannot be removed, the removal is retried after the next snapshot.
func (l *Log) removeSegments(all bool) {
	for len(l.segments) > 1 && (all || l.segments[0].lastIndex <= l.snapshotIndex) {
		if l.fs.Remove(l.path(segmentName(l.segments[0].number))) != nil || l.fs.SyncDir(l.dir) != nil {
			return
		}
		l.segments = l.segments[1:]
	}
}

// removeSnapshots removes those of the snapshots that are older than the newest.
func (l *Log) removeSnapshots(indexes []uint64) {
	for _, index := range indexes {
		if index < l.snapshotIndex {
			_ = l.fs.Remove(l.path(snapshotName(index)))
		}
	}
}
