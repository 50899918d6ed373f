package control

import (
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/consensus"
)

// processReady handles the output of the consensus node until there is none. After
// an error the log can no longer be trusted and the daemon must stop.
func (e *Engine) processReady() error {
	for {
		ready, ok := e.node.Ready()
		if !ok {
			return nil
		}
		if err := e.persist(ready); err != nil {
			return errors.Annotate(ErrStorage, err.Error())
		}
		e.send(ready.Messages)
		if err := e.apply(ready); err != nil {
			return errors.Trace(err)
		}
		e.node.Advance(ready)
		if err := e.maybeSnapshot(); err != nil {
			return errors.Trace(err)
		}
	}
}

func (e *Engine) persist(ready consensus.Ready) error {
	if ready.Snapshot != nil {
		if err := e.cfg.Storage.SaveSnapshot(ready.Snapshot); err != nil {
			return errors.Annotate(err, "save snapshot")
		}
	}
	if ready.HardState == nil && len(ready.Entries) == 0 {
		return nil
	}
	return errors.Annotate(e.cfg.Storage.Save(ready.HardState, ready.Entries), "save entries")
}

func (e *Engine) send(messages []*apipb.ConsensusMessage) {
	if len(messages) == 0 {
		return
	}
	byMember := map[uint64][]*apipb.ConsensusMessage{}
	for _, m := range messages {
		byMember[m.To] = append(byMember[m.To], m)
	}
	for id, batch := range byMember {
		if member := e.destination(id); member != nil {
			e.cfg.Sender.Send(member, batch)
		}
	}
}

// destination returns the member with the address that reaches it, or nil if
// unknown.
func (e *Engine) destination(id uint64) *apipb.Member {
	if member := e.member(id); member != nil {
		return member
	}
	return e.knownSenders[id]
}

// member returns the member with the id, or nil.
func (e *Engine) member(id uint64) *apipb.Member {
	for _, m := range e.node.Status().Members.GetMembers() {
		if m.Id == id {
			return m
		}
	}
	return nil
}

func (e *Engine) apply(ready consensus.Ready) error {
	if ready.Snapshot != nil {
		if err := e.restore(ready.Snapshot); err != nil {
			return errors.Trace(err)
		}
	}
	for _, entry := range ready.Committed {
		result, err := e.store.Apply(entry)
		if err != nil {
			return errors.Trace(err)
		}
		e.appliedIndex, e.appliedTerm = entry.Index, entry.Term
		e.appliedBytes += len(entry.Data)
		if waiter := e.pending[result.RequestID]; waiter != nil {
			waiter <- result
			delete(e.pending, result.RequestID)
		}
	}
	e.confirmation.completeReads(ready.ReadStates, e.appliedIndex)
	if ready.Snapshot != nil || len(ready.Committed) > 0 || len(ready.ReadStates) > 0 {
		e.notifyChange()
	}
	return nil
}

// restore replaces the contents of the store by those of a snapshot. A snapshot
// without data stands for the empty store of a new cluster.
func (e *Engine) restore(snapshot *apipb.Snapshot) error {
	if snapshot == nil {
		return nil
	}
	if len(snapshot.Data) > 0 {
		if err := e.store.Restore(snapshot.Data); err != nil {
			return errors.Trace(err)
		}
	}
	e.appliedIndex, e.appliedTerm = snapshot.Meta.Index, snapshot.Meta.Term
	e.recordSnapshot(snapshot)
	return nil
}

// recordSnapshot records the latest snapshot, from which the next one is due.
func (e *Engine) recordSnapshot(snapshot *apipb.Snapshot) {
	e.snapshotIndex, e.snapshotBytes, e.appliedBytes = snapshot.Meta.Index, len(snapshot.Data), 0
}

// snapshotDue reports whether the log since the latest snapshot is long in entries or bytes.
func (e *Engine) snapshotDue() bool {
	return e.appliedIndex >= e.snapshotIndex+snapshotEntries ||
		e.appliedBytes >= max(minSnapshotLogBytes, snapshotLogRatio*e.snapshotBytes)
}

// maybeSnapshot takes a snapshot and compacts the log if one is due, which bounds the size of the log, the
// time of a restart, and what a new member is sent.
func (e *Engine) maybeSnapshot() error {
	if !e.snapshotDue() {
		return nil
	}
	began := e.cfg.Clock.Now()
	data, err := e.store.Snapshot()
	if err != nil {
		return errors.Annotate(err, "encode snapshot")
	}
	snapshot, err := e.node.MakeSnapshot(e.appliedIndex, data)
	if err != nil {
		return errors.Annotate(err, "make snapshot")
	}
	if err := e.cfg.Storage.SaveSnapshot(snapshot); err != nil {
		return errors.Annotate(ErrStorage, err.Error())
	}
	e.node.Compact(snapshot)
	e.cfg.Log.WithFields(logrus.Fields{
		"index": e.appliedIndex, "bytes": len(data), "log_bytes": e.appliedBytes,
		"took_ms": e.cfg.Clock.Now().ElapsedSince(began).Milliseconds(),
	}).Info("snapshot taken")
	e.recordSnapshot(snapshot)
	return nil
}
