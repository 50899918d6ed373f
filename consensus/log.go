package consensus

import "pistachiomount.example/pistachiomount/apipb"

// entryLog is the part of the log held in memory. entries[0] is a placeholder
// with the index and term of the entry before the first one.
type entryLog struct {
	entries   []*apipb.LogEntry
	stable    uint64 // last index that is durable on this member
	committed uint64
	applied   uint64
}

func newEntryLog(index, term uint64) *entryLog {
	l := &entryLog{}
	l.reset(index, term)
	return l
}

// reset empties the log so that it continues after a snapshot at index.
func (l *entryLog) reset(index, term uint64) {
	l.entries = []*apipb.LogEntry{{Index: index, Term: term}}
	l.stable, l.committed, l.applied = index, index, index
}

func (l *entryLog) baseIndex() uint64 { return l.entries[0].GetIndex() }

func (l *entryLog) lastIndex() uint64 { return l.entries[len(l.entries)-1].GetIndex() }

func (l *entryLog) lastTerm() uint64 { return l.entries[len(l.entries)-1].GetTerm() }

// term returns the term of an entry; ok is false when it is not in memory.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	if index < l.baseIndex() || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex()].GetTerm(), true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// entriesAfter returns as many entries after index prev as fit in maxBytes, but
// at least one if there is any.
func (l *entryLog) entriesAfter(prev uint64, maxBytes int) []*apipb.LogEntry {
	all := l.entries[prev-l.baseIndex()+1:]
	size := 0
	for i, e := range all {
		size += entrySize(e)
		if i > 0 && size > maxBytes {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

func entrySize(e *apipb.LogEntry) int { return len(e.GetData()) + entryOverheadBytes }

func entriesSize(entries []*apipb.LogEntry) int {
	size := 0
	for _, e := range entries {
		size += entrySize(e)
	}
	return size
}

func (l *entryLog) append(entries ...*apipb.LogEntry) {
	l.entries = append(l.entries, entries...)
}

// truncate drops the entries from index on. It copies the slice because messages
// and Ready values may still reference the old one.
func (l *entryLog) truncate(index uint64) {
	keep := index - l.baseIndex()
	l.entries = append([]*apipb.LogEntry(nil), l.entries[:keep]...)
	l.stable = min(l.stable, index-1)
}

func (l *entryLog) unstable() []*apipb.LogEntry {
	s := l.entries[l.stable-l.baseIndex()+1:]
	return s[:len(s):len(s)]
}

func (l *entryLog) unapplied() []*apipb.LogEntry {
	s := l.entries[l.applied-l.baseIndex()+1 : l.committed-l.baseIndex()+1]
	return s[:len(s):len(s)]
}

// markStable records that the log is durable up to index, unless that entry was
// truncated after Ready returned it.
func (l *entryLog) markStable(index, term uint64) {
	if l.matches(index, term) {
		l.stable = max(l.stable, index)
	}
}

func (l *entryLog) commitTo(index uint64) {
	l.committed = max(l.committed, min(index, l.lastIndex()))
}

// isUpToDate reports whether a log that ends at index and term is at least as
// up-to-date as this one, so that its owner may become leader.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.lastIndex())
}

// conflictHint returns the last index at or below index whose term is at or below
// term. Two logs cannot match between the hint and index, so a leader and a
// follower that exchange hints skip whole terms in each round trip. If all entries
// in memory are excluded, the hint lies below them and the member needs a snapshot.
func (l *entryLog) conflictHint(index, term uint64) (hint, hintTerm uint64) {
	i := min(index, l.lastIndex())
	for {
		t, ok := l.term(i)
		if !ok || t <= term {
			return i, t
		}
		i--
	}
}

// compactionIndex returns up to which index the log may be compacted behind a snapshot, so that at most the
// given number of entries and bytes below the snapshot are kept.
func (l *entryLog) compactionIndex(snapshot uint64, keepEntries, keepBytes int) uint64 {
	size := 0
	for kept := range uint64(keepEntries) {
		index := snapshot - kept
		if index <= l.baseIndex() {
			return l.baseIndex()
		}
		if size += entrySize(l.entries[index-l.baseIndex()]); size > keepBytes {
			return index
		}
	}
	return snapshot - min(snapshot, uint64(keepEntries))
}

// compact drops entries up to index, which must be applied and in memory.
func (l *entryLog) compact(index uint64) {
	if index <= l.baseIndex() {
		return
	}
	t, _ := l.term(index)
	rest := l.entries[index-l.baseIndex()+1:]
	l.entries = append([]*apipb.LogEntry{{Index: index, Term: t}}, rest...)
}
