package control

import (
	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

// instrumentedStorage records the duration of writes and the number of snapshots.
type instrumentedStorage struct {
	Storage
	metrics *daemonMetrics
	clock   clock.Clock
}

// Save makes entries durable and records how long it took.
func (s *instrumentedStorage) Save(hard *apipb.HardState, entries []*apipb.LogEntry) error {
	startedAt := s.clock.Now()
	err := s.Storage.Save(hard, entries)
	s.metrics.recordSync(s.clock.Now().ElapsedSince(startedAt))
	return errors.Trace(err)
}

// SaveSnapshot makes a snapshot durable and counts it.
func (s *instrumentedStorage) SaveSnapshot(snapshot *apipb.Snapshot) error {
	if err := s.Storage.SaveSnapshot(snapshot); err != nil {
		return errors.Trace(err)
	}
	s.metrics.recordSnapshot()
	return nil
}
