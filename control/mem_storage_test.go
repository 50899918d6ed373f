package control

import (
	"sync"
	"testing"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/consensus"
)

var errDisk = errors.New("input/output error")

// memStorage keeps synced data in memory. It outlives the engines that use it.
type memStorage struct {
	mu    sync.Mutex
	state consensus.PersistentState
	// failing makes every write fail and lose its data.
	failing bool
	saves   int
}

func (s *memStorage) Save(hard *apipb.HardState, entries []*apipb.LogEntry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing {
		return errDisk
	}
	s.saves++
	if hard != nil {
		s.state.HardState = hard
	}
	if len(entries) > 0 {
		s.state.Entries = append(entriesBelow(s.state.Entries, entries[0].Index), entries...)
	}
	return nil
}

func (s *memStorage) SaveSnapshot(snapshot *apipb.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing {
		return errDisk
	}
	var rest []*apipb.LogEntry
	for i, e := range s.state.Entries {
		if e.Index == snapshot.Meta.Index && e.Term == snapshot.Meta.Term {
			rest = append(rest, s.state.Entries[i+1:]...)
		}
	}
	s.state.Snapshot, s.state.Entries = snapshot, rest
	return nil
}

// load returns a copy that later writes do not change.
func (s *memStorage) load() consensus.PersistentState {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.state
	p.Entries = entriesBelow(p.Entries, ^uint64(0))
	return p
}

func (s *memStorage) setFailing(failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = failing
}

// entriesBelow returns a copy of the entries below the index.
func entriesBelow(entries []*apipb.LogEntry, index uint64) []*apipb.LogEntry {
	var kept []*apipb.LogEntry
	for _, e := range entries {
		if e.Index < index {
			kept = append(kept, e)
		}
	}
	return kept
}

func snapshotAt(index uint64) *apipb.Snapshot {
	return &apipb.Snapshot{Meta: &apipb.SnapshotMeta{Index: index, Term: 1}}
}

// Guards against a memStorage that keeps entries that a real log would replace.
func TestMemStorageReplacesConflictingEntries(t *testing.T) {
	s := &memStorage{}
	for _, entries := range [][]*apipb.LogEntry{{{Index: 2, Term: 1}, {Index: 3, Term: 1}}, {{Index: 3, Term: 2}}} {
		if err := s.Save(nil, entries); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.SaveSnapshot(snapshotAt(2)); err != nil {
		t.Fatal(err)
	}
	if got := s.load().Entries; len(got) != 1 || got[0].Term != 2 {
		t.Fatalf("entries %v, expected the one of term 2", got)
	}
}
