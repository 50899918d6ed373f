package wal

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
)

// writeLog returns the last segment of a new log and the offsets of its records.
func writeLog(t *testing.T, dir string, o Options, saves int) (name string, offsets []int64) {
	t.Helper()
	l, _ := mustOpen(t, dir, o)
	for i := range uint64(saves) {
		offsets = append(offsets, l.size)
		if err := l.Save(&apipb.HardState{Term: i + 1}, entriesAt(i+1, i+1, 1)); err != nil {
			t.Fatal(err)
		}
	}
	name = l.path(segmentName(l.segments[len(l.segments)-1].number))
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return name, offsets
}

// Guards against failing to open a log whose last record is torn, and against
// appending after the remains of that record.
func TestTornLastRecordIsDropped(t *testing.T) {
	dir := t.TempDir()
	name, offsets := writeLog(t, dir, Options{}, 3)
	original, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	for _, zeros := range []int{0, 1, 7, 4096} {
		for cut := 0; cut < len(original); cut++ {
			is := is.New(t)
			is.NoErr(os.WriteFile(name, append(bytes.Clone(original[:cut]), make([]byte, zeros)...), 0o600))
			want := 0
			for want < len(offsets)-1 && offsets[want+1] <= int64(cut) {
				want++
			}
			// The padding completes a record that lacks only trailing zeros.
			padded := append(bytes.Clone(original[:cut]), make([]byte, zeros)...)
			if bytes.HasPrefix(padded, original) {
				continue
			}
			l, p := mustOpen(t, dir, Options{})
			is.Equal(len(p.Entries), want)
			is.NoErr(l.Save(&apipb.HardState{Term: 9}, entriesAt(9, uint64(want)+1, 1)))
			is.NoErr(l.Close())
			l, p = mustOpen(t, dir, Options{})
			is.Equal(len(p.Entries), want+1)
			is.Equal(p.HardState.GetTerm(), uint64(9))
			is.NoErr(l.Close())
		}
	}
}

// Guards against dropping acknowledged records that follow a corrupt one.
func TestCorruptRecordFailsOpen(t *testing.T) {
	dir := t.TempDir()
	name, offsets := writeLog(t, dir, Options{}, 3)
	original, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < int(offsets[2]); i++ {
		is := is.New(t)
		bad := bytes.Clone(original)
		bad[i] ^= 0x41
		is.NoErr(os.WriteFile(name, bad, 0o600))
		_, err := Open(dir, Identity{})
		var c *CorruptError
		is.True(errors.As(err, &c))
		is.True(errors.Is(err, ErrCorrupt))
		is.Equal(c.File, name)
		want := int64(0)
		for _, o := range offsets {
			if o <= int64(i) {
				want = o
			}
		}
		is.Equal(c.Offset, want)
	}
}

// Guards against accepting a torn record at the end of a segment that is not the
// last, and against a missing segment.
func TestCorruptOlderSegmentFailsOpen(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	last, _ := writeLog(t, dir, Options{SegmentBytes: 100}, 6)
	first := filepath.Join(dir, segmentName(1))
	is.True(first != last)
	original, err := os.ReadFile(first)
	is.NoErr(err)
	is.NoErr(os.Truncate(first, int64(len(original)-1)))
	_, err = Open(dir, Identity{})
	is.True(errors.Is(err, ErrCorrupt))
	is.NoErr(os.WriteFile(first, original, 0o600))
	is.NoErr(os.Remove(filepath.Join(dir, segmentName(2))))
	_, err = Open(dir, Identity{})
	is.True(errors.Is(err, ErrCorrupt)) // a missing segment
}

// Guards against opening a directory that is locked, read-only, corrupt, foreign or
// of another member or cluster, and against invalid calls on an open log.
func TestOpenErrors(t *testing.T) {
	is := is.New(t)
	dir := filepath.Join(t.TempDir(), "data", "log")
	l, err := Open(dir, Identity{ClusterID: 7})
	is.NoErr(err)
	id := l.Identity()
	is.True(id.MemberID != 0)
	_, err = Open(dir, Identity{})
	is.True(errors.Is(err, ErrLocked))
	is.NoErr(l.SaveSnapshot(snapshotAt(3, 1)))
	is.True(errors.Is(l.Save(nil, entriesAt(1, 5, 1)), ErrNotContiguous))
	is.True(errors.Is(l.SetClusterID(8), ErrIdentityMismatch))
	is.NoErr(l.Close())
	is.True(errors.Is(l.Save(nil, entriesAt(1, 4, 1)), ErrClosed))

	_, err = Open(dir, Identity{MemberID: id.MemberID + 1})
	is.True(errors.Is(err, ErrIdentityMismatch))
	_, err = Open(dir, Identity{ClusterID: 8})
	is.True(errors.Is(err, ErrIdentityMismatch))
	for _, e := range []syscall.Errno{syscall.EROFS, syscall.EACCES} {
		fs := newFaultFS(1)
		fs.err = e
		_, err = OpenWithOptions(dir, Identity{}, Options{FS: fs})
		is.True(errors.Is(err, ErrReadOnly))
	}
	snap := filepath.Join(dir, snapshotName(3))
	data, err := os.ReadFile(snap)
	is.NoErr(err)
	is.NoErr(os.WriteFile(snap, data[:len(data)-1], 0o600))
	_, err = Open(dir, Identity{})
	is.True(errors.Is(err, ErrCorrupt))
	is.NoErr(os.Remove(snap))
	_, err = Open(dir, Identity{})
	is.True(errors.Is(err, ErrCorrupt)) // the snapshot on which the log is based is missing
	is.NoErr(os.Remove(filepath.Join(dir, identityName)))
	_, err = Open(dir, Identity{})
	is.True(errors.Is(err, ErrCorrupt))

	other := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(other, "notes.txt"), nil, 0o600))
	_, err = Open(other, Identity{})
	is.True(errors.Is(err, ErrForeignFiles))
	names, err := osFS{}.ReadDirNames(other)
	is.NoErr(err)
	is.Equal(len(names), 1) // no file was created in the foreign directory
}

// Guards against a panic on corrupt input and against accepting altered bytes.
func FuzzDecodeFrame(f *testing.F) {
	s := newSalt(1, 2)
	frame, err := appendFrame(nil, s, &apipb.WalRecord{HardState: &apipb.HardState{Term: 3}, Entries: entriesAt(3, 1, 2)})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(frame)
	f.Add(frame[:len(frame)-1])
	f.Add(append(bytes.Clone(frame), frame...))
	f.Add(make([]byte, 64))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		payload, size, err := decodeFrame(data, s)
		if err == nil && (size != len(payload)+frameHeaderBytes || size > len(data) || len(payload) == 0) {
			t.Fatalf("frame of %d bytes with payload of %d in %d bytes", size, len(payload), len(data))
		}
		if err == nil {
			_ = proto.Unmarshal(payload, &apipb.WalRecord{})
		}
		r := segmentReader{file: "f", data: append(segmentHeader(2), data...), salt: s, last: true}
		var rs replayState
		if n, err := r.read(2, rs.apply); err == nil && (n < segmentHeaderBytes || n > len(r.data)) {
			t.Fatalf("intact part of %d bytes in %d", n, len(r.data))
		}
	})
}
