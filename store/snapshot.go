package store

import (
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
)

// ErrCorruptSnapshot is returned when a snapshot cannot be decoded.
const ErrCorruptSnapshot = errors.ConstError("store: snapshot cannot be decoded")

// Snapshot encodes the whole state.
func (s *Store) Snapshot() ([]byte, error) {
	message := &apipb.StoreSnapshot{ClusterId: s.clusterID, NowMs: s.nowMS, Plan: s.plans.snapshot(), Holders: s.holders.snapshot()}
	for _, env := range []apipb.Environment{
		apipb.Environment_ENVIRONMENT_TRIAL,
		apipb.Environment_ENVIRONMENT_PRODUCTION,
	} {
		e := s.environments[env]
		message.Environments = append(message.Environments, &apipb.EnvironmentSnapshot{
			Environment: env, Document: e.raw, History: e.history,
		})
	}
	for e := s.claims.order.Front(); e != nil; e = e.Next() {
		message.Claims = append(message.Claims, recordOf(e))
	}
	for _, list := range [][]*apipb.Job{s.jobs.queue, s.jobs.started, s.jobs.done} {
		message.Jobs = append(message.Jobs, list...)
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	return data, errors.Trace(err)
}

// Restore replaces the state with that of a snapshot. A snapshot holds only the
// newest version of each document, so daemons with an older version fetch the
// whole document instead of a delta.
func (s *Store) Restore(data []byte) error {
	message := &apipb.StoreSnapshot{}
	if err := proto.Unmarshal(data, message); err != nil {
		return errors.Annotate(ErrCorruptSnapshot, err.Error())
	}
	fresh := New()
	fresh.clusterID, fresh.nowMS = message.ClusterId, message.NowMs
	for _, e := range message.Environments {
		fresh.restoreEnvironment(e)
	}
	if err := fresh.plans.restore(message.Plan); err != nil {
		return errors.Trace(err)
	}
	fresh.holders.restore(message.Holders)
	for _, record := range message.Claims {
		fresh.claims.add(record)
	}
	for _, job := range message.Jobs {
		fresh.jobs.add(job)
	}
	*s = *fresh
	return nil
}

func (s *Store) restoreEnvironment(message *apipb.EnvironmentSnapshot) {
	env := s.environments[message.Environment]
	if env == nil {
		return
	}
	for _, entry := range message.History {
		env.appendHistory(entry)
	}
	if last := env.latestEntry(); last.Revision > 0 {
		env.raw = message.Document
		env.recentVersions = []*Version{{Revision: last.Revision, Number: last.Number, Digest: last.Digest, Raw: message.Document}}
	}
}
