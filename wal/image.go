package wal

import (
	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/consensus"
)

// image is the state that the records of a log add up to.
type image struct {
	hardState *apipb.HardState
	snapshot  *apipb.Snapshot
	entries   []*apipb.LogEntry
	markIndex uint64 // of the last snapshot mark
}

// apply takes in a record. The result is empty or tells why the record does not
// follow the ones before it.
func (g *image) apply(r *apipb.WalRecord) string {
	if m := r.GetSnapshot(); m != nil {
		g.applyMark(m)
	}
	if r.GetHardState() != nil {
		g.hardState = r.GetHardState()
	}
	if len(r.GetEntries()) == 0 {
		return ""
	}
	first := r.GetEntries()[0].GetIndex()
	for i, e := range r.GetEntries() {
		if e.GetIndex() != first+uint64(i) {
			return "entries of a record have a gap"
		}
	}
	switch {
	case first <= g.markIndex:
		return "entry lies below the snapshot"
	case len(g.entries) == 0 || first < g.entries[0].GetIndex():
		// The segments with the entries before it may have been removed; finish
		// checks that nothing is missing in the end.
		g.entries = r.GetEntries()
	case first > g.lastIndex()+1:
		return "entry does not follow the log"
	default:
		g.entries = append(g.entries[:first-g.entries[0].GetIndex()], r.GetEntries()...)
	}
	return ""
}

func (g *image) lastIndex() uint64 { return g.entries[len(g.entries)-1].GetIndex() }

func (g *image) applyMark(m *apipb.SnapshotMark) {
	g.markIndex = m.GetIndex()
	if m.GetDiscard() {
		g.entries = nil
		return
	}
	g.dropThrough(m.GetIndex())
}

func (g *image) dropThrough(index uint64) {
	for len(g.entries) > 0 && g.entries[0].GetIndex() <= index {
		g.entries = g.entries[1:]
	}
}

// finish fits the entries to the newest snapshot. When the process stopped
// before it wrote the mark of that snapshot, it returns the missing mark.
func (g *image) finish(s *apipb.Snapshot) (missing *apipb.SnapshotMark, damage string) {
	g.snapshot = s
	index, term := s.GetMeta().GetIndex(), s.GetMeta().GetTerm()
	if g.markIndex > index {
		return nil, "the snapshot that the log continues from is missing"
	}
	if g.markIndex < index {
		missing = &apipb.SnapshotMark{Index: index, Term: term, Discard: !g.holds(index, term)}
		g.applyMark(missing)
	}
	if len(g.entries) > 0 && g.entries[0].GetIndex() != index+1 {
		return nil, "entries after the snapshot are missing"
	}
	return missing, ""
}

func (g *image) holds(index, term uint64) bool {
	if len(g.entries) == 0 || index < g.entries[0].GetIndex() || index > g.lastIndex() {
		return false
	}
	return g.entries[index-g.entries[0].GetIndex()].GetTerm() == term
}

func (g *image) persisted() consensus.PersistentState {
	return consensus.PersistentState{HardState: g.hardState, Snapshot: g.snapshot, Entries: g.entries}
}
