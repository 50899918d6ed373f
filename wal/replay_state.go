package wal

import (
	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/consensus"
)

// replayState is the state that results from applying the records of a log.
type replayState struct {
	hardState *apipb.HardState
	snapshot  *apipb.Snapshot
	entries   []*apipb.LogEntry
	markIndex uint64 // index of the last snapshot mark
}

// apply updates the state with a record. It returns an empty string, or the reason
// why the record does not follow the previous ones.
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
			return "entries of a record are not contiguous"
		}
	}
	switch {
	case first <= rs.markIndex:
		return "entry is covered by the snapshot"
	case len(rs.entries) == 0 || first < rs.entries[0].GetIndex():
		// The segments with the entries before it may have been removed.
		// reconcileSnapshot checks that no entry is missing after the replay.
		rs.entries = r.GetEntries()
	case first > rs.lastIndex()+1:
		return "entry does not continue the log"
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

// reconcileSnapshot drops the entries that the newest snapshot covers and checks
// that the rest continues it. If the process stopped before it wrote the mark of
// the snapshot, reconcileSnapshot returns the missing mark.
func (rs *replayState) reconcileSnapshot(s *apipb.Snapshot) (missing *apipb.SnapshotMark, corruption string) {
	rs.snapshot = s
	index, term := s.GetMeta().GetIndex(), s.GetMeta().GetTerm()
	if rs.markIndex > index {
		return nil, "the snapshot on which the log is based is missing"
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

func (rs *replayState) persistentState() consensus.PersistentState {
	return consensus.PersistentState{HardState: rs.hardState, Snapshot: rs.snapshot, Entries: rs.entries}
}
