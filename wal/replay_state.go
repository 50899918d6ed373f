package wal

import (
	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/consensus"
)

// replayState is the state that the records of a log add up to.
type replayState struct {
	hardState *apipb.HardState
	snapshot  *apipb.Snapshot
	entries   []*apipb.LogEntry
	markIndex uint64 // of the last snapshot mark
}

// apply takes in a record. The result is empty or tells why the record does not
// follow the ones before it.
func (rs *replayState) apply(r *apipb.WalRecord) string {
	if m := r.GetSnapshot(); m != nil {
		rs.applyMark(m)
	}
	if r.GetHardState() != nil {
		rs.hardState = r.GetHardState()
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
	case first <= rs.markIndex:
		return "entry lies below the snapshot"
	case len(rs.entries) == 0 || first < rs.entries[0].GetIndex():
		// The segments with the entries before it may have been removed; finish
		// checks that nothing is missing in the end.
		rs.entries = r.GetEntries()
	case first > rs.lastIndex()+1:
		return "entry does not follow the log"
	default:
		rs.entries = append(rs.entries[:first-rs.entries[0].GetIndex()], r.GetEntries()...)
	}
	return ""
}

func (rs *replayState) lastIndex() uint64 { return rs.entries[len(rs.entries)-1].GetIndex() }

func (rs *replayState) applyMark(m *apipb.SnapshotMark) {
	rs.markIndex = m.GetIndex()
	if m.GetDiscard() {
		rs.entries = nil
		return
	}
	rs.discardThrough(m.GetIndex())
}

func (rs *replayState) discardThrough(index uint64) {
	for len(rs.entries) > 0 && rs.entries[0].GetIndex() <= index {
		rs.entries = rs.entries[1:]
	}
}

// reconcileSnapshot fits the entries to the newest snapshot. When the process stopped
// before it wrote the mark of that snapshot, it returns the missing mark.
func (rs *replayState) reconcileSnapshot(s *apipb.Snapshot) (missing *apipb.SnapshotMark, corruption string) {
	rs.snapshot = s
	index, term := s.GetMeta().GetIndex(), s.GetMeta().GetTerm()
	if rs.markIndex > index {
		return nil, "the snapshot that the log continues from is missing"
	}
	if rs.markIndex < index {
		missing = &apipb.SnapshotMark{Index: index, Term: term, Discard: !rs.containsEntry(index, term)}
		rs.applyMark(missing)
	}
	if len(rs.entries) > 0 && rs.entries[0].GetIndex() != index+1 {
		return nil, "entries after the snapshot are missing"
	}
	return missing, ""
}

func (rs *replayState) containsEntry(index, term uint64) bool {
	if len(rs.entries) == 0 || index < rs.entries[0].GetIndex() || index > rs.lastIndex() {
		return false
	}
	return rs.entries[index-rs.entries[0].GetIndex()].GetTerm() == term
}

func (rs *replayState) persistentState() consensus.Persisted {
	return consensus.Persisted{HardState: rs.hardState, Snapshot: rs.snapshot, Entries: rs.entries}
}
