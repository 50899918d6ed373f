package wal

import "pistachiomount.example/pistachiomount/apipb"

// termIndex records the term of each log entry without keeping the entries. It
// stores one run for consecutive entries of the same term.
type termIndex struct {
	runs      []termRun
	lastIndex uint64 // index of the last entry or of the snapshot
}

type termRun struct{ first, term uint64 }

func (t *termIndex) reset(index uint64) { t.runs, t.lastIndex = nil, index }

func (t *termIndex) append(e *apipb.LogEntry) {
	for len(t.runs) > 0 && t.runs[len(t.runs)-1].first >= e.GetIndex() {
		t.runs = t.runs[:len(t.runs)-1]
	}
	if len(t.runs) == 0 || t.runs[len(t.runs)-1].term != e.GetTerm() {
		t.runs = append(t.runs, termRun{e.GetIndex(), e.GetTerm()})
	}
	t.lastIndex = e.GetIndex()
}

func (t *termIndex) containsEntry(index, term uint64) bool {
	if index > t.lastIndex {
		return false
	}
	for i := len(t.runs) - 1; i >= 0; i-- {
		if t.runs[i].first <= index {
			return t.runs[i].term == term
		}
	}
	return false
}

// discardThrough removes the entries up to and including index.
func (t *termIndex) discardThrough(index uint64) {
	for len(t.runs) > 1 && t.runs[1].first <= index+1 {
		t.runs = t.runs[1:]
	}
	if len(t.runs) > 0 {
		t.runs[0].first = max(t.runs[0].first, index+1)
	}
	if t.lastIndex <= index {
		t.reset(index)
	}
}
