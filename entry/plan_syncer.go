package entry

import (
	"context"
	"sync/atomic"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/plan"
)

// planSyncer polls the control daemons for the routing plan in force.
type planSyncer struct {
	vm          string
	incarnation uint64
	clock       clock.Clock
	onChange    func(*PlanView)
	knowledge   *knowledge
	// onCurrent is called when this VM may act on the view again, or for the first time; nil to ignore that.
	onCurrent func()

	loop    pollLoop
	current atomic.Pointer[PlanView]
	// needSnapshot requests the whole state because the last reply could not be applied.
	needSnapshot bool
	update       updateFetch
}

// load returns the current view; before the first plan it is empty.
func (s *planSyncer) load() *PlanView {
	if v := s.current.Load(); v != nil {
		return v
	}
	return &PlanView{}
}

// run polls until the context ends.
func (s *planSyncer) run(ctx context.Context) { s.loop.run(ctx, s.poll) }

// poll sends one request, applies the reply, and returns the address that it asked.
func (s *planSyncer) poll(ctx context.Context) (string, error) {
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
		s.loop.controls.updateMembers(reply.ControlAddresses)
		s.loop.controls.setLeader(reply.LeaderAddress)
	}
	return address, s.applyReply(ctx, client, have, reply, sent)
}

func (s *planSyncer) watch(ctx context.Context, client apipb.DRPCControlClient, have *PlanView) (*apipb.WatchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request := &apipb.WatchRequest{
		Environment: apipb.Environment_ENVIRONMENT_PLAN, HaveRevision: have.Revision, HaveDigest: have.digest,
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

// applyReply puts the state of a reply in force. The state of a daemon that is partitioned
// from the majority is applied too if it is newer, but ErrUnconfirmed makes the next
// poll ask another daemon, and a VM that starts does not act on it.
func (s *planSyncer) applyReply(ctx context.Context, client apipb.DRPCControlClient, have *PlanView, reply *apipb.WatchReply, sent clock.Instant) error {
	if reply.Revision < have.Revision {
		return errors.Annotatef(ErrLowerRevision, "%d after %d", reply.Revision, have.Revision)
	}
	next := *have
	s.needSnapshot = false
	if reply.Revision != have.Revision {
		raw, err := s.fetch(ctx, client, have, reply)
		if err != nil {
			s.needSnapshot = needsWhole(err)
			return errors.Trace(err)
		}
		if err := next.decode(raw, reply); err != nil {
			return errors.Trace(err)
		}
	}
	if reply.Confirmed {
		next.confirm(confirmedAt(reply, sent), s.clock.Now())
	}
	if next.Revision != have.Revision {
		s.onChange(&next) // before the store, so that requests under the new plan find its services
		s.logPlan(&next, reply)
	}
	s.current.Store(&next)
	if reply.Confirmed {
		s.recordConfirmation(confirmedAt(reply, sent)) // after the store: those that wait for it read the view
	}
	if !isConfirmed(reply) {
		return errors.Trace(ErrUnconfirmed)
	}
	return nil
}

// confirmRevision records that the plan with a revision was in force at the leader, whose lease was valid, at an instant
// or later. After a start this comes with the first grants, sooner than a poll is confirmed.
func (s *planSyncer) confirmRevision(revision uint64, at clock.Instant) {
	if revision != 0 && s.load().Revision == revision {
		s.recordConfirmation(at)
	}
}

// recordConfirmation records that the view contains every change that was accepted before an instant.
func (s *planSyncer) recordConfirmation(at clock.Instant) {
	before := s.knowledge.viewIsCurrent()
	s.knowledge.recordConfirmation(at)
	if before || !s.knowledge.viewIsCurrent() {
		return
	}
	s.loop.log.WithField("revision", s.load().Revision).Info("plan may be used")
	if s.onCurrent != nil {
		s.onCurrent()
	}
}

// logPlan logs a plan that was put in force, and what the control daemon said of its confirmation.
func (s *planSyncer) logPlan(view *PlanView, reply *apipb.WatchReply) {
	fields := logrus.Fields{
		"number": view.Index.Plan.Number, "revision": view.Revision, "customers": len(view.Index.Plan.Customers),
		"keys_required": view.Index.KeysRequired(), "confirmed": reply.Confirmed,
	}
	if reply.Confirmed {
		fields["confirmed_age_ms"] = reply.ConfirmedAgeMs
	}
	s.loop.log.WithFields(fields).Info("plan in force")
}

func (s *planSyncer) fetch(ctx context.Context, client apipb.DRPCControlClient, have *PlanView, reply *apipb.WatchReply) (raw []byte, err error) {
	switch reply.Kind {
	case apipb.WatchKind_WATCH_KIND_DELTA:
		raw, err = document.ApplyDelta(have.raw, reply.Sections, reply.Digest)
	case apipb.WatchKind_WATCH_KIND_UPDATE:
		raw, err = s.update.fetch(ctx, client, apipb.Environment_ENVIRONMENT_PLAN, have.raw, reply)
	default:
		raw, err = fetchSnapshot(ctx, client, apipb.Environment_ENVIRONMENT_PLAN, reply)
	}
	return raw, errors.Trace(err)
}

// decode sets the view to an encoded routing state.
func (v *PlanView) decode(raw []byte, reply *apipb.WatchReply) error {
	p, evacuated, err := plan.DecodeState(raw)
	if err != nil {
		return errors.Trace(err)
	}
	v.Revision, v.digest, v.raw = reply.Revision, reply.Digest, raw
	v.Index = plan.NewIndex(p)
	v.Evacuated = make(map[string]bool, len(evacuated))
	for _, domain := range evacuated {
		v.Evacuated[domain] = true
	}
	return nil
}

// confirm sets the confirmation to at, unless the previous one is more recent.
func (v *PlanView) confirm(at, now clock.Instant) {
	if age, confirmed := v.Age(now); confirmed && age <= now.ElapsedSince(at) {
		return
	}
	v.confirmed, v.confirmedAt = true, at
}
