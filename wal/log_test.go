package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/consensus"
)

func entriesAt(term, first uint64, n int) []*apipb.LogEntry {
	var out []*apipb.LogEntry
	for i := range uint64(n) {
		out = append(out, &apipb.LogEntry{Index: first + i, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", first+i, term)})
	}
	return out
}

func snapshotAt(index, term uint64) *apipb.Snapshot {
	return &apipb.Snapshot{Meta: &apipb.SnapshotMeta{Index: index, Term: term}, Data: fmt.Appendf(nil, "state %d", index)}
}

func mustOpen(t interface{ Fatalf(string, ...any) }, dir string, o Options) (*Log, consensus.PersistentState) {
	l, err := OpenWithOptions(dir, Identity{}, o)
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	p, err := l.Load()
	if err != nil {
		t.Fatalf("load: %v", err)
	}
	return l, p
}

func equal(a, b consensus.PersistentState) bool {
	x := &apipb.WalRecord{HardState: a.HardState, Entries: a.Entries}
	y := &apipb.WalRecord{HardState: b.HardState, Entries: b.Entries}
	return proto.Equal(x, y) && proto.Equal(a.Snapshot, b.Snapshot)
}

// model is the state that a log is expected to hold.
type model struct {
	p    consensus.PersistentState
	term uint64
}

func (m *model) last() uint64 {
	return m.p.Snapshot.GetMeta().GetIndex() + uint64(len(m.p.Entries))
}

// save runs Save and returns the expected state after it. compact and install do
// the same for snapshots that were taken locally or received from the leader.
func (m *model) save(l *Log, back uint64, n int, termUp bool) (consensus.PersistentState, error) {
	if termUp {
		m.term++
	}
	base := m.p.Snapshot.GetMeta().GetIndex()
	first := max(base, m.last()-min(back, m.last())) + 1
	next := m.p
	next.HardState = &apipb.HardState{Term: m.term, Commit: base}
	es := entriesAt(m.term, first, n)
	if n > 0 {
		next.Entries = append(m.p.Entries[:first-base-1:first-base-1], es...)
	}
	return next, l.Save(next.HardState, es)
}

func (m *model) compact(l *Log, at uint64) (consensus.PersistentState, error) {
	base := m.p.Snapshot.GetMeta().GetIndex()
	if len(m.p.Entries) == 0 {
		return m.p, nil
	}
	k := at % uint64(len(m.p.Entries))
	s := snapshotAt(base+k+1, m.p.Entries[k].GetTerm())
	return consensus.PersistentState{HardState: m.p.HardState, Snapshot: s, Entries: m.p.Entries[k+1:]}, l.SaveSnapshot(s)
}

func (m *model) install(l *Log, ahead uint64) (consensus.PersistentState, error) {
	m.term++
	s := snapshotAt(max(m.p.Snapshot.GetMeta().GetIndex()+1, m.last()+ahead-min(3, m.last())), m.term)
	return consensus.PersistentState{HardState: m.p.HardState, Snapshot: s}, l.SaveSnapshot(s)
}

func (m *model) randomOperation(rt *rapid.T, l *Log) (consensus.PersistentState, error) {
	switch rapid.SampledFrom([]string{"save", "save", "save", "save", "compact", "install"}).Draw(rt, "op") {
	case "compact":
		return m.compact(l, rapid.Uint64Range(0, 50).Draw(rt, "at"))
	case "install":
		return m.install(l, rapid.Uint64Range(0, 5).Draw(rt, "ahead"))
	default:
		return m.save(l, rapid.Uint64Range(0, 3).Draw(rt, "back"), rapid.IntRange(0, 4).Draw(rt, "n"), rapid.Bool().Draw(rt, "term"))
	}
}

// Guards against losing or reviving entries after any sequence of saves,
// overwritten suffixes, snapshots and power losses: acknowledged data must be
// present, and an interrupted operation must have taken effect wholly or not at all.
func TestSurvivesPowerLossAtAnyOperation(t *testing.T) {
	root := t.TempDir()
	runs := 0
	rapid.Check(t, func(rt *rapid.T) {
		runs++
		dir := filepath.Join(root, fmt.Sprint(runs))
		defer os.RemoveAll(dir)
		var m model
		for range rapid.IntRange(1, 4).Draw(rt, "starts") {
			fs := newFaultFS(rapid.IntRange(1, 60).Draw(rt, "failAt"))
			unacked := m.p
			l, err := OpenWithOptions(dir, Identity{}, Options{FS: fs, SegmentBytes: 300})
			if err == nil {
				unacked = m.runUntilFailure(rt, l)
				_ = l.Close()
			} else if !errors.Is(err, errInjected) {
				rt.Fatalf("open: %v", err)
			}
			part := rapid.Int64Range(0, 4).Draw(rt, "kept")
			if err := fs.powerLoss(func(n int64) int64 { return n * part / 4 }); err != nil {
				rt.Fatalf("power loss: %v", err)
			}
			m.checkRecovered(rt, dir, unacked)
		}
	})
}

func (m *model) runUntilFailure(rt *rapid.T, l *Log) consensus.PersistentState {
	if p, err := l.Load(); err != nil || !equal(p, m.p) {
		rt.Fatalf("loaded %v %v, want %v", p, err, m.p)
	}
	for range 20 {
		next, err := m.randomOperation(rt, l)
		if err != nil && !errors.Is(err, errInjected) {
			rt.Fatalf("operation: %v", err)
		}
		if err != nil {
			return next
		}
		m.p = next
	}
	return m.p
}

// checkRecovered opens the log without faults and compares its whole state, because
// an installed snapshot replaces a log with conflicting entries.
func (m *model) checkRecovered(rt *rapid.T, dir string, unacked consensus.PersistentState) {
	l, p := mustOpen(rt, dir, Options{SegmentBytes: 300})
	defer l.Close()
	if !equal(p, m.p) && !equal(p, unacked) {
		rt.Fatalf("after power loss: %v\nacknowledged: %v\nin progress: %v", p, m.p, unacked)
	}
	m.p = p
}

// Guards against accepting writes after a failed sync, which may have lost data.
func TestFailedSyncIsPermanent(t *testing.T) {
	is := is.New(t)
	fs := newFaultFS(0)
	l, _ := mustOpen(t, t.TempDir(), Options{FS: fs})
	is.NoErr(l.Save(&apipb.HardState{Term: 1}, entriesAt(1, 1, 2)))
	fs.failAt = fs.count + 2 // the write succeeds, its sync fails
	err := l.Save(nil, entriesAt(1, 3, 1))
	is.True(errors.Is(err, ErrWriteFailed))
	is.True(errors.Is(err, errInjected))
	fs.failAt = 0
	is.Equal(l.Save(nil, entriesAt(1, 3, 1)), err)
	is.Equal(l.SaveSnapshot(snapshotAt(1, 1)), err)
	is.Equal(l.SetClusterID(5), err)
	_, lerr := l.Load()
	is.Equal(lerr, err)
}

// Guards against unbounded growth: segments and snapshots older than the newest
// snapshot are removed.
func TestSnapshotRemovesOldFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	l, _ := mustOpen(t, dir, Options{SegmentBytes: 500})
	for i := range uint64(200) {
		is.NoErr(l.Save(&apipb.HardState{Term: 1, Commit: i}, entriesAt(1, i+1, 1)))
		if i%50 == 49 {
			is.NoErr(l.SaveSnapshot(snapshotAt(i-5, 1)))
		}
	}
	is.NoErr(l.Close())
	names, err := osFS{}.ReadDirNames(dir)
	is.NoErr(err)
	is.True(len(names) <= 6) // lock, identity, snapshot, segments of the last 6 entries
	l, p := mustOpen(t, dir, Options{})
	defer l.Close()
	is.Equal(p.Snapshot.GetMeta().GetIndex(), uint64(194))
	is.Equal(len(p.Entries), 6)
	is.Equal(p.HardState.GetCommit(), uint64(199))
}

// Guards against allocations that grow with the number of entries in a Save.
func TestSaveAllocations(t *testing.T) {
	is := is.New(t)
	l, _ := mustOpen(t, t.TempDir(), Options{})
	defer l.Close()
	es := entriesAt(1, 1, 100)
	hs := &apipb.HardState{Term: 1}
	allocs := testing.AllocsPerRun(50, func() { is.NoErr(l.Save(hs, es)) })
	t.Logf("%.0f allocations to save 100 entries", allocs)
	is.True(allocs <= 10)
}

func BenchmarkSave(b *testing.B) {
	for _, n := range []int{1, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, _ := mustOpen(b, b.TempDir(), Options{})
			defer l.Close()
			next := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				if err := l.Save(nil, entriesAt(1, next, n)); err != nil {
					b.Fatal(err)
				}
				next += uint64(n)
			}
		})
	}
}

// Guards against a difference between the state that a node passes to the log and
// the state that the log returns after a restart.
func TestMemberRestartsFromLog(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	l, p := mustOpen(t, dir, Options{})
	is.Equal(p, consensus.PersistentState{})
	first, err := consensus.Bootstrap([]*apipb.Member{{Id: l.Identity().MemberID}})
	is.NoErr(err)
	is.NoErr(l.SaveSnapshot(first.Snapshot))
	is.NoErr(l.Save(first.HardState, nil))
	for start := range 3 {
		is.NoErr(l.Close())
		l, p = mustOpen(t, dir, Options{SegmentBytes: 200})
		n, err := consensus.New(consensus.Config{ID: l.Identity().MemberID, Seed: uint64(start)}, p)
		is.NoErr(err)
		n.CampaignNow()
		for range 10 {
			is.NoErr(n.Propose([]byte("command")))
			for rd, ok := n.Ready(); ok; rd, ok = n.Ready() {
				is.NoErr(l.Save(rd.HardState, rd.Entries))
				n.Advance(rd)
			}
		}
		st := n.Status()
		is.Equal(st.Applied, uint64(1+11*(start+1)))
		s, err := n.MakeSnapshot(st.Applied-3, nil)
		is.NoErr(err)
		is.NoErr(l.SaveSnapshot(s))
		n.Compact(s)
	}
	is.NoErr(l.Close())
}
