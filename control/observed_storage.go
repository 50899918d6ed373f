package control

import (
	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

// instrumentedStorage measures how long writes take.
type instrumentedStorage struct {
	Storage
	metrics *daemonMetrics
	clock   clock.Clock
}

// Save makes entries durable and records the time that it took.
func (s *instrumentedStorage) Save(hard *apipb.HardState, entries []*apipb.LogEntry) error {
	begun := s.clock.Now()
	err := s.Storage.Save(hard, entries)
	s.metrics.recordSync(s.clock.Now().ElapsedSince(begun))
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
