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

// planKeeper polls a control daemon for the routing plan in force.
type planKeeper struct {
	vm          string
	incarnation uint64
	clock       clock.Clock
	onChange    func(*PlanView)

	loop    pollLoop
	current atomic.Pointer[PlanView]
	// wantWhole asks for the whole state because the last answer did not fit.
	wantWhole bool
}

func (k *planKeeper) load() *PlanView {
	if v := k.current.Load(); v != nil {
		return v
	}
	return &PlanView{}
}

// run polls until the context ends.
func (k *planKeeper) run(ctx context.Context) { k.loop.run(ctx, k.poll) }

// poll asks once and puts the answer in force.
func (k *planKeeper) poll(ctx context.Context) (string, error) {
	client, address, err := k.loop.controls.current()
	if err != nil {
		return address, errors.Trace(err)
	}
	have := k.load()
	sent := k.clock.Now()
	reply, err := k.watch(ctx, client, have)
	if err != nil {
		return address, errors.Trace(err)
	}
	if current(reply) {
		k.loop.controls.learn(reply.ControlAddresses)
		k.loop.controls.setLeader(reply.LeaderAddress)
	}
	return address, k.take(ctx, client, have, reply, sent)
}

func (k *planKeeper) watch(ctx context.Context, client apipb.DRPCControlClient, have *PlanView) (*apipb.WatchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	request := &apipb.WatchRequest{
		Environment: apipb.Environment_ENVIRONMENT_PLAN, HaveRevision: have.Revision, HaveDigest: have.digest,
		WaitMs: uint32(watchWait.Milliseconds()), Vm: k.vm, Incarnation: k.incarnation,
	}
	if k.wantWhole {
		request.HaveRevision, request.HaveDigest = 0, ""
	}
	reply, err := client.Watch(ctx, request)
	return reply, errors.Trace(err)
}

// take puts a reply in force. What a daemon that is cut off has may still be newer
// than what is here, but another daemon must be asked.
func (k *planKeeper) take(ctx context.Context, client apipb.DRPCControlClient, have *PlanView, reply *apipb.WatchReply, sent clock.Instant) error {
	if reply.Revision < have.Revision {
		return errors.Annotatef(ErrLowerRevision, "%d after %d", reply.Revision, have.Revision)
	}
	next := *have
	k.wantWhole = false
	if reply.Revision != have.Revision {
		raw, err := k.fetch(ctx, client, have, reply)
		if err != nil {
			k.wantWhole = true // another delta would fail in the same way
			return errors.Trace(err)
		}
		if err := next.read(raw, reply); err != nil {
			return errors.Trace(err)
		}
	}
	if reply.Confirmed {
		next.confirm(sent.Add(-confirmedAge(reply)), k.clock.Now())
	}
	if next.Revision != have.Revision {
		k.onChange(&next) // first, so that requests under the new plan find its services
		k.loop.log.WithFields(logrus.Fields{"number": next.Index.Plan.Number, "revision": next.Revision}).Info("plan in force")
	}
	k.current.Store(&next)
	if !current(reply) {
		return errors.Trace(ErrUnconfirmed)
	}
	return nil
}

func (k *planKeeper) fetch(ctx context.Context, client apipb.DRPCControlClient, have *PlanView, reply *apipb.WatchReply) ([]byte, error) {
	if reply.Kind == apipb.WatchKind_WATCH_KIND_DELTA {
		raw, err := document.ApplyDelta(have.raw, reply.Sections, reply.Digest)
		return raw, errors.Trace(err)
	}
	raw, err := fetchSnapshot(ctx, client, apipb.Environment_ENVIRONMENT_PLAN, reply)
	return raw, errors.Trace(err)
}

// read decodes a routing state into the view.
func (v *PlanView) read(raw []byte, reply *apipb.WatchReply) error {
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

// confirm moves the confirmation on to an instant, unless it is younger already.
func (v *PlanView) confirm(at, now clock.Instant) {
	if age, confirmed := v.Age(now); confirmed && age <= now.ElapsedSince(at) {
		return
	}
	v.confirmed, v.confirmedAt = true, at
}
