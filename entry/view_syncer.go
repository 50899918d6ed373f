package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/document"
)

// viewSyncer polls the control daemons for the document in force and keeps the view
// derived from it.
type viewSyncer struct {
	environment apipb.Environment
	deployment  string
	vm          string
	incarnation uint64
	clock       clock.Clock
	// onChange is called with each new view after it is stored.
	onChange func(*view)

	knowledge *knowledge

	loop    pollLoop
	current atomic.Pointer[view]
	decoder document.Decoder
	// jobsWaiting reports whether deferred jobs are queued, as of the last poll.
	jobsWaiting atomic.Bool
	// needSnapshot requests the whole document because the last reply did not match the
	// document in force. Another delta would fail in the same way.
	needSnapshot bool
	update       updateFetch
}

// load returns the current view; before the first document it is empty.
func (s *viewSyncer) load() *view {
	if v := s.current.Load(); v != nil {
		return v
	}
	return &view{index: document.NewIndex(&document.Document{})}
}

// run polls until the context ends.
func (s *viewSyncer) run(ctx context.Context) { s.loop.run(ctx, s.poll) }

// poll sends one request, applies the reply, and returns the address that it asked.
func (s *viewSyncer) poll(ctx context.Context) (string, error) {
	client, address, err := s.loop.controls.current()
	if err != nil {
		return address, errors.Trace(err)
	}
	have := s.load()
	sent := s.clock.Now()
	reply, err := s.watch(ctx, client, have)
	if err != nil {
		return address, errors.Trace(err)
	}
	if isConfirmed(reply) {
		// A partitioned daemon would name a former leader and former members.
		s.loop.controls.updateMembers(reply.ControlAddresses)
		s.loop.controls.setLeader(reply.LeaderAddress)
	}
	s.jobsWaiting.Store(reply.JobsWaiting)
	return address, s.applyReply(ctx, client, have, reply, sent)
}

func (s *viewSyncer) watch(ctx context.Context, client apipb.DRPCControlClient, have *view) (*apipb.WatchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request := &apipb.WatchRequest{
		Environment: s.environment, HaveRevision: have.revision, HaveDigest: have.digest,
		WaitMs: uint32(maxPollWait.Milliseconds()), Vm: s.vm, Incarnation: s.incarnation, AcceptsUpdates: true,
	}
	if !s.knowledge.viewIsCurrent() {
		request.ConfirmedWithinMs = s.knowledge.wantedAgeMS()
	}
	if s.needSnapshot {
		request.HaveRevision, request.HaveDigest = 0, ""
	}
	reply, err := client.Watch(ctx, request)
	return reply, errors.Trace(err)
}

// needsWhole reports whether the next poll must ask for the whole state, since another update would fail as
// well.
func needsWhole(err error) bool {
	return errors.Is(err, document.ErrDeltaMismatch) || errors.Is(err, ErrDocumentMismatch)
}

// isConfirmed reports whether a reply comes from a daemon that recently reached the
// majority.
func isConfirmed(reply *apipb.WatchReply) bool {
	return reply.Confirmed && confirmedAge(reply) <= maxConfirmedAge
}

func confirmedAge(reply *apipb.WatchReply) time.Duration {
	return time.Duration(reply.ConfirmedAgeMs) * time.Millisecond
}

// confirmedAt returns an instant at which the state of a reply was certainly the newest, on the clock
// of this VM: the confirmation is as old as the daemon says, counted from the end of the poll's wait.
func confirmedAt(reply *apipb.WatchReply, sent clock.Instant) clock.Instant {
	held := time.Duration(float64(reply.HeldMs)*(1-maxClockDrift)) * time.Millisecond
	return sent.Add(held - confirmedAge(reply))
}

// applyReply puts the document of a reply in force. The document of a daemon that is
// partitioned from the majority is applied too if it is newer, but ErrUnconfirmed makes
// the next poll ask another daemon.
func (s *viewSyncer) applyReply(ctx context.Context, client apipb.DRPCControlClient, have *view, reply *apipb.WatchReply, sent clock.Instant) error {
	if reply.Revision < have.revision {
		return errors.Annotatef(ErrLowerRevision, "%d after %d", reply.Revision, have.revision)
	}
	next, err := s.nextView(ctx, client, have, reply)
	s.needSnapshot = needsWhole(err)
	if err != nil {
		return errors.Trace(err)
	}
	changed := next.revision != have.revision || next.digest != have.digest
	if reply.Confirmed {
		confirm(next, confirmedAt(reply, sent), s.clock.Now())
	}
	s.current.Store(next)
	if changed {
		s.loop.log.WithFields(logrus.Fields{"number": next.number, "revision": next.revision}).Info("document in force")
		s.onChange(next)
	}
	if reply.Confirmed {
		s.knowledge.recordConfirmation(confirmedAt(reply, sent)) // last: those that wait for it use all of the view
	}
	if !isConfirmed(reply) {
		return errors.Trace(ErrUnconfirmed)
	}
	return nil
}

// confirm sets the confirmation to at, unless the previous one is more recent. at is
// the send time of the poll less the age of the confirmation at the control daemon;
// the view contains every change accepted before it. Ages are compared on all clocks,
// because the monotonic clock does not advance while the VM is suspended.
func confirm(next *view, at, now clock.Instant) {
	if age, confirmed := next.age(now); confirmed && age <= now.ElapsedSince(at) {
		return
	}
	next.confirmed, next.confirmedAt = true, at
}

// nextView returns the view that results from the reply.
func (s *viewSyncer) nextView(ctx context.Context, client apipb.DRPCControlClient, have *view, reply *apipb.WatchReply) (*view, error) {
	switch reply.Kind {
	case apipb.WatchKind_WATCH_KIND_UNCHANGED:
		if reply.Revision != have.revision || reply.Digest != have.digest {
			return nil, errors.Annotatef(ErrDocumentMismatch, "revision %d", reply.Revision)
		}
		same := *have
		return &same, nil
	case apipb.WatchKind_WATCH_KIND_DELTA:
		raw, err := document.ApplyDelta(have.raw, reply.Sections, reply.Digest)
		if err != nil {
			return nil, errors.Trace(err)
		}
		return s.buildView(raw, have, reply)
	case apipb.WatchKind_WATCH_KIND_UPDATE:
		raw, err := s.update.fetch(ctx, client, s.environment, have.raw, reply)
		if err != nil {
			return nil, errors.Trace(err)
		}
		return s.buildView(raw, have, reply)
	case apipb.WatchKind_WATCH_KIND_SNAPSHOT:
		raw, err := fetchSnapshot(ctx, client, s.environment, reply)
		if err != nil {
			return nil, errors.Trace(err)
		}
		return s.buildView(raw, have, reply)
	}
	return nil, errors.Annotatef(ErrSnapshot, "unknown kind of reply %v", reply.Kind)
}

// buildView decodes a document and derives the view. After an error it resets the
// decoder: the client blocks of a document that is not put in force would otherwise
// count as those of the view when a later document has the same ones.
func (s *viewSyncer) buildView(raw []byte, have *view, reply *apipb.WatchReply) (*view, error) {
	next, err := s.decode(raw, have, reply)
	if err != nil {
		s.decoder = document.Decoder{}
		return nil, errors.Trace(err)
	}
	return next, nil
}

func (s *viewSyncer) decode(raw []byte, have *view, reply *apipb.WatchReply) (*view, error) {
	doc, sameBlocks, err := s.decoder.Decode(raw)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if doc.Deployment != s.deployment {
		return nil, errors.Annotatef(ErrDeploymentMismatch, "%q, expected %q", doc.Deployment, s.deployment)
	}
	blocks := have.blocks
	if !sameBlocks {
		if blocks, err = newBlockTable(doc); err != nil {
			return nil, errors.Trace(err)
		}
		doc.ClientBlocks = nil // the table holds them in less memory
	}
	return &view{
		raw: raw, revision: reply.Revision, number: reply.Number, digest: reply.Digest,
		index: document.NewIndex(doc), blocks: blocks,
		confirmed: have.confirmed, confirmedAt: have.confirmedAt,
	}, nil
}
