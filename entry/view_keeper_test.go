package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/document"
)

// keeperRig is a view keeper in front of one fake control daemon.
type keeperRig struct {
	*viewKeeper
	clock   *clock.Manual
	control *fakeControl
	dialer  *fakeDialer
	changes []uint64
	last    *apipb.WatchRequest
	reply   func() *apipb.WatchReply
	chunks  map[uint64][]byte
}

func newKeeperRig() *keeperRig {
	r := &keeperRig{clock: &clock.Manual{}, control: &fakeControl{}, chunks: map[uint64][]byte{}}
	r.control.watch = func(_ context.Context, in *apipb.WatchRequest) (*apipb.WatchReply, error) {
		r.last = in
		return r.reply(), nil
	}
	r.control.chunk = func(_ context.Context, in *apipb.ChunkRequest) (*apipb.ChunkReply, error) {
		raw, ok := r.chunks[in.Revision]
		return &apipb.ChunkReply{Data: raw, Gone: !ok}, nil
	}
	r.dialer = &fakeDialer{daemons: map[string]*fakeControl{"a": r.control}}
	r.viewKeeper = &viewKeeper{
		loop:       pollLoop{controls: newControls([]string{"a", "b"}, 0, r.dialer), log: quietLog(), subject: "configuration"},
		deployment: "bancas", clock: r.clock,
	}
	r.onChange = func(v *view) { r.changes = append(r.changes, v.revision) }
	return r
}

// ask polls once and has the daemon answer with the reply.
func (r *keeperRig) ask(reply *apipb.WatchReply) error {
	r.reply = func() *apipb.WatchReply { return reply }
	_, err := r.poll(context.Background())
	return err
}

// offer polls once and has the daemon offer the document.
func (r *keeperRig) offer(raw []byte, revision uint64) error {
	r.chunks[revision] = raw
	return r.ask(snapshotReply(raw, revision))
}

func (r *keeperRig) fresh() bool {
	d := Daemon{cfg: Config{Clock: r.clock}, keeper: r.viewKeeper}
	return d.View().Fresh
}

// Guards against a revoked key that works longer than the revocation bound: the
// age of a view counts from the send time of the poll, less the age at the
// control daemon, and a view is fresh for at most 4 s.
func TestViewIsFreshForFourSeconds(t *testing.T) {
	is := is.New(t)
	r := newKeeperRig()
	is.True(!r.fresh())
	is.NoErr(r.offer(example(t, 1), 1))
	reply := unchangedReply(r.load())
	reply.ConfirmedAgeMs = 500
	r.reply = func() *apipb.WatchReply {
		r.clock.Advance(time.Second) // the reply is under way
		return reply
	}
	r.clock.Advance(time.Second)
	_, err := r.poll(context.Background())
	is.NoErr(err)
	r.clock.Advance(2500 * time.Millisecond)
	is.True(r.fresh()) // 4 s since the confirmation
	r.clock.Advance(1)
	is.True(!r.fresh())
}

// Guards against a VM that was suspended and resumes with its old view: its
// monotonic clock stood still.
func TestSuspendedVMFailsClosedAtOnce(t *testing.T) {
	is := is.New(t)
	r := newKeeperRig()
	is.NoErr(r.offer(example(t, 1), 1))
	is.True(r.fresh())
	r.clock.Suspend(MaxViewAge + 1)
	is.True(!r.fresh())
}

// Guards against a reply that was sent before a suspension and confirms the view
// after it.
func TestReplyFromBeforeASuspensionConfirmsNothing(t *testing.T) {
	is := is.New(t)
	r := newKeeperRig()
	is.NoErr(r.offer(example(t, 1), 1))
	reply := unchangedReply(r.load())
	r.reply = func() *apipb.WatchReply {
		r.clock.Suspend(MaxViewAge + 1)
		return reply
	}
	_, err := r.poll(context.Background())
	is.NoErr(err)
	is.True(!r.fresh())
}

// Guards against a view that stays stale after a suspension although a poll
// confirmed it: compared on the monotonic clock, the new confirmation looks older.
func TestFirstPollAfterASuspensionConfirms(t *testing.T) {
	is := is.New(t)
	r := newKeeperRig()
	is.NoErr(r.offer(example(t, 1), 1))
	r.clock.Suspend(time.Minute)
	reply := unchangedReply(r.load())
	reply.ConfirmedAgeMs = 300
	is.NoErr(r.ask(reply))
	is.True(r.fresh())
}

// Guards against a confirmation that a late or slower daemon moves back.
func TestConfirmationNeverMovesBack(t *testing.T) {
	is := is.New(t)
	r := newKeeperRig()
	is.NoErr(r.offer(example(t, 1), 1))
	at := r.load().confirmedAt
	reply := unchangedReply(r.load())
	reply.ConfirmedAgeMs = 1900
	is.NoErr(r.ask(reply))
	is.Equal(r.load().confirmedAt, at)
}

// Guards against polling a control daemon that is cut off from the majority, and
// against following the leader that it remembers.
func TestUnconfirmedDaemonIsLeft(t *testing.T) {
	for name, change := range map[string]func(*apipb.WatchReply){
		"confirmation too old": func(r *apipb.WatchReply) { r.ConfirmedAgeMs = 2001 },
		"no confirmation":      func(r *apipb.WatchReply) { r.Confirmed = false },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newKeeperRig()
				is.NoErr(r.offer(example(t, 1), 1))
				r.loop.controls.setLeader("leader")
				cutOff := unchangedReply(r.load())
				cutOff.LeaderAddress = "former"
				change(cutOff)
				ctx, cancel := context.WithCancel(t.Context())
				leader := ""
				r.dialer.daemons["b"] = &fakeControl{watch: func(context.Context, *apipb.WatchRequest) (*apipb.WatchReply, error) {
					leader = r.loop.controls.leader
					cancel()
					return unchangedReply(r.load()), nil
				}}
				r.reply = func() *apipb.WatchReply { return cutOff }
				r.dialer.take()
				r.run(ctx)
				is.Equal(r.dialer.take(), "a b")
				is.Equal(leader, "leader")
			})
		})
	}
}

// Guards against a former document that comes back, as from a control daemon
// that was restored from an old copy.
func TestLowerRevisionIsNeverPutInForce(t *testing.T) {
	is := is.New(t)
	r := newKeeperRig()
	is.NoErr(r.offer(example(t, 2), 7))
	r.clock.Advance(time.Second)
	is.True(errors.Is(r.offer(example(t, 1), 6), ErrLowerRevision))
	is.Equal(r.load().revision, uint64(7))
	is.Equal(r.load().number, uint64(7))
	age, _ := r.load().age(r.clock.Now())
	is.Equal(age, time.Second) // nor did it confirm the view
	is.Equal(r.changes, []uint64{7})
}

// Guards against a view that is confirmed by a daemon which holds another
// document under the same revision, and against a standstill after it.
func TestOtherDocumentOfTheSameRevision(t *testing.T) {
	is := is.New(t)
	r := newKeeperRig()
	is.NoErr(r.offer(example(t, 1), 3))
	reply := unchangedReply(r.load())
	reply.Digest = "other"
	is.True(errors.Is(r.ask(reply), ErrDocumentMismatch))
	is.NoErr(r.offer(example(t, 2), 3))
	is.Equal(r.last.HaveRevision, uint64(0))
	is.Equal(r.load().index.Document().Number, uint64(2))
	is.Equal(r.changes, []uint64{3, 3})
}

// Guards against a standstill: a daemon that sent a delta which does not fit
// would send the same one again.
func TestBadDeltaLeadsToASnapshot(t *testing.T) {
	is := is.New(t)
	r := newKeeperRig()
	is.NoErr(r.offer(example(t, 1), 1))
	next := example(t, 2)
	delta := snapshotReply(next, 2)
	delta.Kind = apipb.WatchKind_WATCH_KIND_DELTA
	delta.Sections = []*apipb.Section{{CopyFrom: 0, CopyCount: 1}}
	is.True(errors.Is(r.ask(delta), document.ErrDeltaMismatch))
	is.Equal(r.load().revision, uint64(1))
	is.NoErr(r.offer(next, 2))
	is.Equal(r.last.HaveRevision, uint64(0))
	is.Equal(r.last.HaveDigest, "")
	is.Equal(r.load().revision, uint64(2))
	is.NoErr(r.ask(unchangedReply(r.load())))
	is.Equal(r.last.HaveRevision, uint64(2)) // deltas again
}

// Guards against a delta that is not applied to what is in force here.
func TestDeltaLeadsToTheNextDocument(t *testing.T) {
	is := is.New(t)
	r := newKeeperRig()
	is.NoErr(r.offer(example(t, 1), 1))
	next := example(t, 2)
	delta := snapshotReply(next, 2)
	delta.Kind = apipb.WatchKind_WATCH_KIND_DELTA
	delta.Sections = document.Delta(r.load().raw, next)
	is.NoErr(r.ask(delta))
	is.Equal(r.load().raw, next)
	is.Equal(r.changes, []uint64{1, 2})
}

// Guards against a document in force that nobody checked: one that cannot be
// decoded, or that belongs to another installation. The view goes stale instead.
func TestUnusableDocumentIsNotPutInForce(t *testing.T) {
	for name, change := range map[string][2]string{
		"not decodable":      {"\nshift:", "\nshipped:"},
		"another deployment": {"deployment: bancas", "deployment: tama-cuirs"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newKeeperRig()
			is.NoErr(r.offer(example(t, 1), 1))
			r.clock.Advance(MaxViewAge + 1)
			is.True(r.offer(example(t, 2, change[0], change[1]), 2) != nil)
			is.Equal(r.load().revision, uint64(1))
			is.True(!r.fresh())
			is.Equal(r.changes, []uint64{1})
			is.NoErr(r.offer(example(t, 3), 3))
			is.True(r.fresh())
		})
	}
}

// Guards against callers that are ranked by the blocks of the former document
// because a refused document in between had the new blocks.
func TestBlocksOfARefusedDocumentAreNotCounted(t *testing.T) {
	is := is.New(t)
	r := newKeeperRig()
	is.NoErr(r.offer(example(t, 1), 1))
	old := r.load().blocks
	moved := []string{"cidr: 10.10.0.0/16", "cidr: 10.99.0.0/16"}
	foreign := append([]string{"deployment: bancas", "deployment: tama-cuirs"}, moved...)
	is.True(errors.Is(r.offer(example(t, 2, foreign...), 2), ErrDeploymentMismatch))
	is.NoErr(r.offer(example(t, 3, moved...), 3))
	is.True(r.load().blocks != old)
}

// Guards against a mixture of two documents: a revision that is gone while its
// chunks are fetched is not put in force, and the next poll starts anew.
func TestChunksOfARevisionThatIsGone(t *testing.T) {
	is := is.New(t)
	r := newKeeperRig()
	is.True(errors.Is(r.ask(snapshotReply(example(t, 1), 1)), ErrSnapshot))
	is.Equal(r.load().revision, uint64(0))
	is.NoErr(r.offer(example(t, 2), 2))
	r.chunks[3] = example(t, 2) // the chunks of another document
	is.True(errors.Is(r.ask(snapshotReply(example(t, 3), 3)), ErrSnapshot))
	is.Equal(r.load().revision, uint64(2))
}

// Guards against a large document that is never fetched because its chunks share
// the time limit of one poll.
func TestChunksMayTakeLongerThanAPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newKeeperRig()
		raw := example(t, 1)
		r.control.chunk = func(ctx context.Context, in *apipb.ChunkRequest) (*apipb.ChunkReply, error) {
			pause(ctx, time.Second)
			size := (len(raw) + 3) / 4
			start := int(in.Chunk) * size
			return &apipb.ChunkReply{Data: raw[start:min(len(raw), start+size)]}, ctx.Err()
		}
		reply := snapshotReply(raw, 1)
		reply.SnapshotChunks = 4
		is.NoErr(r.ask(reply))
		is.Equal(r.load().raw, raw)
	})
}

// Guards against a revoked key that stays connected: whoever is told of a change
// must find the new view in force, or it would check running requests by the old.
func TestViewIsInForceBeforeTheChangeIsHandedOn(t *testing.T) {
	is := is.New(t)
	r := newKeeperRig()
	var seen []uint64
	r.onChange = func(*view) { seen = append(seen, r.load().revision) }
	is.NoErr(r.offer(example(t, 1), 1))
	is.NoErr(r.offer(example(t, 2), 2))
	is.Equal(seen, []uint64{1, 2})
}
