package control

import (
	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

// observedStorage measures how long writes take.
type observedStorage struct {
	Storage
	observer *observer
	clock    clock.Clock
}

// Save makes entries durable and records the time that it took.
func (s *observedStorage) Save(hard *apipb.HardState, entries []*apipb.LogEntry) error {
	begun := s.clock.Now()
	err := s.Storage.Save(hard, entries)
	s.observer.synced(s.clock.Now().ElapsedSince(begun))
	return errors.Trace(err)
}

// SaveSnapshot makes a snapshot durable and counts it.
func (s *observedStorage) SaveSnapshot(snapshot *apipb.Snapshot) error {
	if err := s.Storage.SaveSnapshot(snapshot); err != nil {
		return errors.Trace(err)
	}
	s.observer.snapshot()
	return nil
}
