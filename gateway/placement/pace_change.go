package placement

import (
	"time"

	"pistachiomount.example/pistachiomount/gateway/pace"
)

// maxPaceChanges bounds the changes that are kept until they are logged.
const maxPaceChanges = 64

// PaceChange says that the first request was sent to a paced upstream, or that its pacing ended.
type PaceChange struct {
	Upstream string
	Reason   pace.Reason
	Ended    bool
	// Took is how long pacing lasted, and Complete whether the upstream got its full share. Both are
	// set if pacing ended.
	Took     time.Duration
	Complete bool
}

// PaceChanges returns the changes since the last call.
func (t *Table) PaceChanges() []PaceChange {
	changes := t.paceChanges
	t.paceChanges = nil
	return changes
}

func (t *Table) addPaceChange(c PaceChange) {
	if len(t.paceChanges) < maxPaceChanges {
		t.paceChanges = append(t.paceChanges, c)
	}
}
