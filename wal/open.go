package wal

import (
	"os"
	"path/filepath"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
)

// DefaultSegmentBytes is the size at which a segment is closed. Open reads each
// segment into memory as a whole.
const DefaultSegmentBytes = 16 << 20

// Options configures a log. Zero values select the defaults.
type Options struct {
	FS           FS    // default: the file system of the operating system
	SegmentBytes int64 // default: DefaultSegmentBytes
}

// Open opens the log in dir and creates the directory if it does not exist. Fields
// of id that are set must match an existing log. A new log stores them and
// generates a member id if none is given.
func Open(dir string, id Identity) (*Log, error) {
	return OpenWithOptions(dir, id, Options{})
}

// OpenWithOptions opens a log as Open does, with the given options.
func OpenWithOptions(dir string, id Identity, o Options) (*Log, error) {
	if o.FS == nil {
		o.FS = osFS{}
	}
	if o.SegmentBytes == 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	l := &Log{fs: o.FS, dir: filepath.Clean(dir), segmentBytes: o.SegmentBytes}
	if err := l.open(id); err != nil {
		l.release()
		return nil, err
	}
	return l, nil
}

func (l *Log) open(id Identity) error {
	if err := l.fs.MkdirAll(l.dir); err != nil {
		return wrapOpenError(l.dir, err)
	}
	// The directory is checked before the lock file is created in it.
	if _, err := readDirContents(l.fs, l.dir); err != nil {
		return err
	}
	var err error
	if l.lock, err = l.fs.Lock(l.path(lockName)); err != nil {
		return wrapOpenError(l.dir, err)
	}
	f, err := readDirContents(l.fs, l.dir)
	if err != nil {
		return err
	}
	if err := l.removeTemporaryFiles(f); err != nil {
		return wrapOpenError(l.dir, err)
	}
	if err := l.loadOrCreateIdentity(f, id); err != nil {
		return err
	}
	return l.load(f)
}

// removeTemporaryFiles removes files that a crash left incomplete. It also syncs the
// directory, because a rename that is visible may not be durable yet.
func (l *Log) removeTemporaryFiles(f dirContents) error {
	for _, name := range f.temporary {
		if err := l.fs.Remove(l.path(name)); err != nil {
			return err
		}
	}
	return l.fs.SyncDir(l.dir)
}

func (l *Log) load(f dirContents) error {
	snapshot, err := l.readNewestSnapshot(f.snapshots)
	if err != nil {
		return err
	}
	if err := l.replay(f.segments); err != nil {
		return err
	}
	missing, corruption := l.replayed.reconcileSnapshot(snapshot)
	if corruption != "" {
		return &CorruptError{File: l.dir, Reason: corruption}
	}
	l.hardState = l.replayed.hardState
	l.snapshotIndex = snapshot.GetMeta().GetIndex()
	l.terms.reset(l.snapshotIndex)
	for _, e := range l.replayed.entries {
		l.terms.append(e)
	}
	if l.file == nil {
		if err := l.startSegment(1); err != nil {
			return wrapOpenError(l.dir, err)
		}
	}
	if missing != nil {
		if err := l.write(&apipb.WalRecord{Snapshot: missing}); err != nil {
			return wrapOpenError(l.dir, err)
		}
	}
	l.removeSnapshots(f.snapshots)
	return nil
}

// replay reads all segments and leaves the last one open for writing.
func (l *Log) replay(numbers []uint64) error {
	for i, number := range numbers {
		name := l.path(segmentName(number))
		if i > 0 && number != numbers[i-1]+1 {
			return &CorruptError{File: l.path(segmentName(numbers[i-1] + 1)), Reason: "segment is missing"}
		}
		if err := l.replaySegment(name, number, i == len(numbers)-1); err != nil {
			return err
		}
	}
	return nil
}

func (l *Log) replaySegment(name string, number uint64, last bool) error {
	data, err := readFile(l.fs, name)
	if err != nil {
		return wrapOpenError(l.dir, err)
	}
	seg := segment{number: number}
	r := segmentReader{file: name, data: data, salt: newSalt(l.identity.MemberID, number), last: last}
	intact, err := r.read(number, func(rec *apipb.WalRecord) string {
		for _, e := range rec.GetEntries() {
			seg.lastIndex = max(seg.lastIndex, e.GetIndex())
		}
		return l.replayed.apply(rec)
	})
	if err != nil {
		return err
	}
	l.segments = append(l.segments, seg)
	if !last {
		return nil
	}
	return l.reopenSegment(name, number, int64(intact))
}

// reopenSegment opens the last segment for writing and truncates a torn record. The
// sync also covers records that were written but not synced when the process
// stopped.
func (l *Log) reopenSegment(name string, number uint64, size int64) error {
	f, err := l.fs.Open(name, os.O_WRONLY|os.O_APPEND)
	if err != nil {
		return wrapOpenError(l.dir, err)
	}
	l.file, l.size, l.salt = f, size, newSalt(l.identity.MemberID, number)
	if err := f.Truncate(size); err != nil {
		return wrapOpenError(l.dir, err)
	}
	if size == 0 {
		header := segmentHeader(number)
		if _, err := f.Write(header); err != nil {
			return wrapOpenError(l.dir, err)
		}
		l.size = int64(len(header))
	}
	if err := f.Sync(); err != nil {
		return wrapOpenError(l.dir, err)
	}
	return nil
}

func (l *Log) readNewestSnapshot(indexes []uint64) (*apipb.Snapshot, error) {
	if len(indexes) == 0 {
		return nil, nil
	}
	index := indexes[len(indexes)-1]
	name := l.path(snapshotName(index))
	data, err := readFile(l.fs, name)
	if err != nil {
		return nil, wrapOpenError(l.dir, err)
	}
	s := &apipb.Snapshot{}
	payload, size, err := decodeFrame(data, newSalt(l.identity.MemberID, index))
	if err != nil || size != len(data) || proto.Unmarshal(payload, s) != nil || s.GetMeta().GetIndex() != index {
		return nil, errors.Trace(&CorruptError{File: name, Reason: "invalid snapshot file"})
	}
	return s, nil
}
