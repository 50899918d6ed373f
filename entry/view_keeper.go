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

// viewKeeper polls a control daemon for the document in force.
type viewKeeper struct {
	environment apipb.Environment
	deployment  string
	vm          string
	incarnation uint64
	clock       clock.Clock
	// onChange is called with each new view before it is in force is reported.
	onChange func(*view)

	loop    pollLoop
	current atomic.Pointer[view]
	decoder document.Decoder
	// jobsWaiting is what the last poll said about deferred jobs.
	jobsWaiting atomic.Bool
	// wantWhole asks for the whole document because the last answer did not fit
	// to what is in force here. Another delta would fail in the same way.
	wantWhole bool
}

// load returns the current view; before the first document it is empty.
func (k *viewKeeper) load() *view {
	if v := k.current.Load(); v != nil {
		return v
	}
	return &view{index: document.NewIndex(&document.Document{})}
}

// run polls until the context ends.
func (k *viewKeeper) run(ctx context.Context) { k.loop.run(ctx, k.poll) }

// poll asks once and puts the answer in force.
func (k *viewKeeper) poll(ctx context.Context) (string, error) {
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
		// A daemon that is cut off would name a former leader and former members.
		k.loop.controls.learn(reply.ControlAddresses)
		k.loop.controls.setLeader(reply.LeaderAddress)
	}
	k.jobsWaiting.Store(reply.JobsWaiting)
	return address, k.take(ctx, client, have, reply, sent)
}

func (k *viewKeeper) watch(ctx context.Context, client apipb.DRPCControlClient, have *view) (*apipb.WatchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	request := &apipb.WatchRequest{
		Environment: k.environment, HaveRevision: have.revision, HaveDigest: have.digest,
		WaitMs: uint32(watchWait.Milliseconds()), Vm: k.vm, Incarnation: k.incarnation,
	}
	if k.wantWhole {
		request.HaveRevision, request.HaveDigest = 0, ""
	}
	reply, err := client.Watch(ctx, request)
	return reply, errors.Trace(err)
}

// current reports whether a reply comes from a daemon that reaches the majority.
func current(reply *apipb.WatchReply) bool {
	return reply.Confirmed && confirmedAge(reply) <= maxConfirmedAge
}

func confirmedAge(reply *apipb.WatchReply) time.Duration {
	return time.Duration(reply.ConfirmedAgeMs) * time.Millisecond
}

// take puts a reply in force. A daemon whose own confirmation is old is cut off;
// what it has is still newer than what is here, but another must be asked.
func (k *viewKeeper) take(ctx context.Context, client apipb.DRPCControlClient, have *view, reply *apipb.WatchReply, sent clock.Instant) error {
	if reply.Revision < have.revision {
		return errors.Annotatef(ErrLowerRevision, "%d after %d", reply.Revision, have.revision)
	}
	next, err := k.next(ctx, client, have, reply)
	k.wantWhole = errors.Is(err, document.ErrDeltaMismatch) || errors.Is(err, ErrDocumentMismatch)
	if err != nil {
		return errors.Trace(err)
	}
	changed := next.revision != have.revision || next.digest != have.digest
	if reply.Confirmed {
		confirm(next, sent.Add(-confirmedAge(reply)), k.clock.Now())
	}
	k.current.Store(next)
	if changed {
		k.loop.log.WithFields(logrus.Fields{"number": next.number, "revision": next.revision}).Info("document in force")
		k.onChange(next)
	}
	if !current(reply) {
		return errors.Trace(ErrUnconfirmed)
	}
	return nil
}

// confirm moves the confirmation to the send time less the age at the control
// daemon, unless the former one is younger: whatever was accepted before that
// instant is part of the view. Ages are compared on all clocks, since the
// monotonic one does not show that the VM was suspended in between.
func confirm(next *view, at, now clock.Instant) {
	if age, confirmed := next.age(now); confirmed && age <= now.ElapsedSince(at) {
		return
	}
	next.confirmed, next.confirmedAt = true, at
}

// next returns the view that the reply leads to.
func (k *viewKeeper) next(ctx context.Context, client apipb.DRPCControlClient, have *view, reply *apipb.WatchReply) (*view, error) {
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
		return k.build(raw, have, reply)
	case apipb.WatchKind_WATCH_KIND_SNAPSHOT:
		raw, err := fetchSnapshot(ctx, client, k.environment, reply)
		if err != nil {
			return nil, errors.Trace(err)
		}
		return k.build(raw, have, reply)
	}
	return nil, errors.Annotatef(ErrSnapshot, "unknown answer %v", reply.Kind)
}

// build decodes a document and derives the view. A document that is not put in
// force must leave no blocks in the decoder: they would count as those of the
// view when a later document has the same ones.
func (k *viewKeeper) build(raw []byte, have *view, reply *apipb.WatchReply) (*view, error) {
	next, err := k.decode(raw, have, reply)
	if err != nil {
		k.decoder = document.Decoder{}
		return nil, errors.Trace(err)
	}
	return next, nil
}

func (k *viewKeeper) decode(raw []byte, have *view, reply *apipb.WatchReply) (*view, error) {
	doc, sameBlocks, err := k.decoder.Decode(raw)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if doc.Deployment != k.deployment {
		return nil, errors.Annotatef(ErrDeploymentMismatch, "%q, expected %q", doc.Deployment, k.deployment)
	}
	blocks := have.blocks
	if !sameBlocks {
		if blocks, err = blocksOf(doc); err != nil {
			return nil, errors.Trace(err)
		}
		doc.ClientBlocks = nil // the table holds them in a fraction of the memory
	}
	return &view{
		raw: raw, revision: reply.Revision, number: reply.Number, digest: reply.Digest,
		index: document.NewIndex(doc), blocks: blocks,
		confirmed: have.confirmed, confirmedAt: have.confirmedAt,
	}, nil
}
