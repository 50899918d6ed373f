package wal

import (
	"io"
	"os"
	"path/filepath"
	"sync"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/consensus"
)

// maxRetainedBufferBytes is the largest encoding buffer kept for the next call.
const maxRetainedBufferBytes = 4 << 20

// Log is an open log. It is safe for concurrent use. Save does not wait until a
// concurrent SaveSnapshot has written the data of its snapshot, only for the short
// step that records the snapshot in the log.
type Log struct {
	fs           FS
	dir          string
	segmentBytes int64
	snapshotMu   sync.Mutex // held during all of SaveSnapshot; locked before mu

	mu       sync.Mutex
	lock     io.Closer
	identity Identity
	replayed replayState // found by Open, reset by Load
	failure  error

	file     File // last segment
	size     int64
	salt     salt
	segments []segment
	buffer   []byte

	hardState     *apipb.HardState
	snapshotIndex uint64
	terms         termIndex
}

func (l *Log) path(name string) string { return filepath.Join(l.dir, name) }

// Load returns the state that Open found. The log does not keep it, so Load must
// be called once, before the first Save.
func (l *Log) Load() (consensus.PersistentState, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure != nil {
		return consensus.PersistentState{}, l.failure
	}
	p := l.replayed.persistentState()
	l.replayed = replayState{}
	return p, nil
}

// Save makes a hard state (unless nil) and entries durable. An entry whose index is
// already in the log replaces that entry and all later ones.
func (l *Log) Save(hs *apipb.HardState, entries []*apipb.LogEntry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure != nil {
		return l.failure
	}
	if hs == nil && len(entries) == 0 {
		return nil
	}
	if err := l.checkEntries(entries); err != nil {
		return err
	}
	if err := l.write(&apipb.WalRecord{HardState: hs, Entries: entries}); err != nil {
		return l.fail("saving entries", err)
	}
	if hs != nil {
		l.hardState = hs
	}
	for _, e := range entries {
		l.terms.append(e)
	}
	if k := len(entries); k > 0 {
		seg := &l.segments[len(l.segments)-1]
		seg.lastIndex = max(seg.lastIndex, entries[k-1].GetIndex())
	}
	if l.size >= l.segmentBytes {
		return l.fail("starting a segment", l.rotateSegment())
	}
	return nil
}

// checkEntries rejects entries that Open would report as corruption.
func (l *Log) checkEntries(entries []*apipb.LogEntry) error {
	for i, e := range entries {
		first := entries[0].GetIndex()
		if e.GetIndex() != first+uint64(i) || first <= l.snapshotIndex || first > l.terms.lastIndex+1 {
			return errors.Annotatef(ErrNotContiguous, "entry %d after snapshot %d and last entry %d", e.GetIndex(), l.snapshotIndex, l.terms.lastIndex)
		}
	}
	return nil
}

// write appends one record and syncs it.
func (l *Log) write(r *apipb.WalRecord) error {
	buf, err := appendFrame(l.buffer[:0], l.salt, r)
	if err != nil {
		return err
	}
	if l.buffer = buf; cap(buf) > maxRetainedBufferBytes {
		l.buffer = nil
	}
	if _, err := l.file.Write(buf); err != nil {
		return err
	}
	if err := l.file.Sync(); err != nil {
		return err
	}
	l.size += int64(len(buf))
	return nil
}

// rotateSegment closes the last segment and starts the next one. It repeats the
// hard state there, so that older segments can be removed.
func (l *Log) rotateSegment() error {
	if err := l.file.Close(); err != nil {
		return err
	}
	if err := l.startSegment(l.segments[len(l.segments)-1].number + 1); err != nil {
		return err
	}
	if l.hardState == nil {
		return nil
	}
	return l.write(&apipb.WalRecord{HardState: l.hardState})
}

func (l *Log) startSegment(number uint64) error {
	f, err := l.fs.Open(l.path(segmentName(number)), os.O_WRONLY|os.O_APPEND|os.O_CREATE|os.O_EXCL)
	if err != nil {
		return err
	}
	header := segmentHeader(number)
	l.file, l.size, l.salt = f, int64(len(header)), newSalt(l.identity.MemberID, number)
	l.segments = append(l.segments, segment{number: number})
	if _, err := f.Write(header); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	return l.fs.SyncDir(l.dir)
}

// fail records a failed operation, so that every later call returns its error.
func (l *Log) fail(op string, err error) error {
	if err == nil {
		return nil
	}
	l.failure = &WriteError{Op: op, Err: err}
	return l.failure
}

// Close closes the log and unlocks its directory. Later calls return ErrClosed.
func (l *Log) Close() error {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if errors.Is(l.failure, ErrClosed) {
		return nil
	}
	l.failure = ErrClosed
	return errors.Annotatef(l.release(), "closing log in %s", l.dir)
}

func (l *Log) release() error {
	var err error
	if l.file != nil {
		err = l.file.Close()
	}
	if l.lock != nil {
		if lerr := l.lock.Close(); err == nil {
			err = lerr
		}
	}
	return err
}
