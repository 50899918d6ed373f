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
	"pistachiomount.example/pistachiomount/continuity"
	"pistachiomount.example/pistachiomount/document"
)

// syncerFixture is a view syncer with one fake control daemon.
type syncerFixture struct {
	*viewSyncer
	clock   *clock.Manual
	control *fakeControl
	dialer  *fakeDialer
	changes []uint64
	last    *apipb.WatchRequest
	reply   func() *apipb.WatchReply
	chunks  map[uint64][]byte
}

func newSyncerFixture() *syncerFixture {
	r := &syncerFixture{clock: &clock.Manual{}, control: &fakeControl{}, chunks: map[uint64][]byte{}}
	r.control.watch = func(_ context.Context, in *apipb.WatchRequest) (*apipb.WatchReply, error) {
		r.last = in
		return r.reply(), nil
	}
	r.control.chunk = func(_ context.Context, in *apipb.ChunkRequest) (*apipb.ChunkReply, error) {
		raw, ok := r.chunks[in.Revision]
		return &apipb.ChunkReply{Data: raw, Gone: !ok}, nil
	}
	r.dialer = &fakeDialer{daemons: map[string]*fakeControl{"a": r.control}}
	known := newKnowledge(continuity.New(r.clock, nil), r.clock, MaxViewAge)
	r.viewSyncer = &viewSyncer{
		loop:       pollLoop{controls: newControls([]string{"a", "b"}, 0, r.dialer), log: discardLog(), subject: "configuration", knowledge: known},
		deployment: "bancas", clock: r.clock, knowledge: known,
	}
	r.onChange = func(v *view) { r.changes = append(r.changes, v.revision) }
	return r
}

// pollReply polls once and has the daemon send the reply.
func (r *syncerFixture) pollReply(reply *apipb.WatchReply) error {
	r.reply = func() *apipb.WatchReply { return reply }
	_, err := r.poll(context.Background())
	return err
}

// pollDocument polls once and has the daemon send the document as a snapshot.
func (r *syncerFixture) pollDocument(raw []byte, revision uint64) error {
	r.chunks[revision] = raw
	return r.pollReply(snapshotReply(raw, revision))
}

func (r *syncerFixture) fresh() bool {
	d := Daemon{cfg: Config{Clock: r.clock}, syncer: r.viewSyncer, knowledge: r.viewSyncer.knowledge}
	return d.View().Fresh
}

// Guards against a revoked key that is accepted longer than the revocation bound: the
// age of a view counts from the send time of the poll less the age of the confirmation
// at the control daemon, and a view is fresh for at most 4 s.
func TestViewIsFreshForFourSeconds(t *testing.T) {
	is := is.New(t)
	r := newSyncerFixture()
	is.True(!r.fresh())
	is.NoErr(r.pollDocument(exampleDocument(t, 1), 1))
	reply := unchangedReply(r.load())
	reply.ConfirmedAgeMs = 500
	r.reply = func() *apipb.WatchReply {
		r.clock.Advance(time.Second) // while the reply is in transit
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

// Guards against a VM that resumes from suspension and trusts its old view, because
// its monotonic clock did not advance.
func TestSuspendedVMFailsClosedAtOnce(t *testing.T) {
	is := is.New(t)
	r := newSyncerFixture()
	is.NoErr(r.pollDocument(exampleDocument(t, 1), 1))
	is.True(r.fresh())
	r.clock.Suspend(MaxViewAge + 1)
	is.True(!r.fresh())
}

// Guards against a reply sent before a suspension that confirms the view after it.
func TestReplyFromBeforeASuspensionConfirmsNothing(t *testing.T) {
	is := is.New(t)
	r := newSyncerFixture()
	is.NoErr(r.pollDocument(exampleDocument(t, 1), 1))
	reply := unchangedReply(r.load())
	r.reply = func() *apipb.WatchReply {
		r.clock.Suspend(MaxViewAge + 1)
		return reply
	}
	_, err := r.poll(context.Background())
	is.NoErr(err)
	is.True(!r.fresh())
}

// Guards against a view that stays stale after a suspension although a poll confirmed
// it: on the monotonic clock alone, the new confirmation looks older.
func TestFirstPollAfterASuspensionConfirms(t *testing.T) {
	is := is.New(t)
	r := newSyncerFixture()
	is.NoErr(r.pollDocument(exampleDocument(t, 1), 1))
	r.clock.Suspend(time.Minute)
	reply := unchangedReply(r.load())
	reply.ConfirmedAgeMs = 300
	is.NoErr(r.pollReply(reply))
	is.True(r.fresh())
}

// Guards against a view that counts as old because its poll waited for a change: with the limit of
// 2 s on the platform, unknown keys were rejected as if this VM were cut off.
func TestWaitOfAPollDoesNotCountAsAge(t *testing.T) {
	is := is.New(t)
	r := newSyncerFixture()
	is.NoErr(r.pollDocument(exampleDocument(t, 1), 1))
	sent := r.clock.Now()
	r.clock.Advance(maxPollWait)
	reply := unchangedReply(r.load())
	reply.ConfirmedAgeMs, reply.HeldMs = 300, 1000
	at := confirmedAt(reply, sent)
	is.Equal(r.clock.Now().ElapsedSince(at), 320*time.Millisecond) // 20 ms for clocks that differ in speed
}

// Guards against a late reply or a slower daemon moving the confirmation back.
func TestConfirmationNeverMovesBack(t *testing.T) {
	is := is.New(t)
	r := newSyncerFixture()
	is.NoErr(r.pollDocument(exampleDocument(t, 1), 1))
	at := r.load().confirmedAt
	reply := unchangedReply(r.load())
	reply.ConfirmedAgeMs = 1900
	is.NoErr(r.pollReply(reply))
	is.Equal(r.load().confirmedAt, at)
}

// Guards against polling a control daemon that is partitioned from the majority, and
// against adopting the leader that it remembers.
func TestUnconfirmedDaemonIsReplaced(t *testing.T) {
	for name, change := range map[string]func(*apipb.WatchReply){
		"confirmation too old": func(r *apipb.WatchReply) { r.ConfirmedAgeMs = 2001 },
		"no confirmation":      func(r *apipb.WatchReply) { r.Confirmed = false },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newSyncerFixture()
				is.NoErr(r.pollDocument(exampleDocument(t, 1), 1))
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
				r.dialer.takeDialed()
				r.run(ctx)
				is.Equal(r.dialer.takeDialed(), "a b")
				is.Equal(leader, "leader")
			})
		})
	}
}

// Guards against the return of a previous document, for example from a control daemon
// that was restored from an old backup.
func TestLowerRevisionIsNeverPutInForce(t *testing.T) {
	is := is.New(t)
	r := newSyncerFixture()
	is.NoErr(r.pollDocument(exampleDocument(t, 2), 7))
	r.clock.Advance(time.Second)
	is.True(errors.Is(r.pollDocument(exampleDocument(t, 1), 6), ErrLowerRevision))
	is.Equal(r.load().revision, uint64(7))
	is.Equal(r.load().number, uint64(7))
	age, _ := r.load().age(r.clock.Now())
	is.Equal(age, time.Second) // nor did it confirm the view
	is.Equal(r.changes, []uint64{7})
}

// Guards against a view confirmed by a daemon that holds another document under the
// same revision, and against a syncer that is stuck afterwards.
func TestDifferentDocumentWithSameRevision(t *testing.T) {
	is := is.New(t)
	r := newSyncerFixture()
	is.NoErr(r.pollDocument(exampleDocument(t, 1), 3))
	reply := unchangedReply(r.load())
	reply.Digest = "other"
	is.True(errors.Is(r.pollReply(reply), ErrDocumentMismatch))
	is.NoErr(r.pollDocument(exampleDocument(t, 2), 3))
	is.Equal(r.last.HaveRevision, uint64(0))
	is.Equal(r.load().index.Document().Number, uint64(2))
	is.Equal(r.changes, []uint64{3, 3})
}

// Guards against a syncer that is stuck: a daemon that sent a delta which does not
// match would send the same one again.
func TestBadDeltaLeadsToASnapshot(t *testing.T) {
	is := is.New(t)
	r := newSyncerFixture()
	is.NoErr(r.pollDocument(exampleDocument(t, 1), 1))
	next := exampleDocument(t, 2)
	delta := snapshotReply(next, 2)
	delta.Kind = apipb.WatchKind_WATCH_KIND_DELTA
	delta.Sections = []*apipb.Section{{CopyFrom: 0, CopyCount: 1}}
	is.True(errors.Is(r.pollReply(delta), document.ErrDeltaMismatch))
	is.Equal(r.load().revision, uint64(1))
	is.NoErr(r.pollDocument(next, 2))
	is.Equal(r.last.HaveRevision, uint64(0))
	is.Equal(r.last.HaveDigest, "")
	is.Equal(r.load().revision, uint64(2))
	is.NoErr(r.pollReply(unchangedReply(r.load())))
	is.Equal(r.last.HaveRevision, uint64(2)) // deltas again
}

// Guards against a delta that is not applied to the document in force.
func TestDeltaLeadsToTheNextDocument(t *testing.T) {
	is := is.New(t)
	r := newSyncerFixture()
	is.NoErr(r.pollDocument(exampleDocument(t, 1), 1))
	next := exampleDocument(t, 2)
	delta := snapshotReply(next, 2)
	delta.Kind = apipb.WatchKind_WATCH_KIND_DELTA
	delta.Sections = document.Delta(r.load().raw, next)
	is.NoErr(r.pollReply(delta))
	is.Equal(r.load().raw, next)
	is.Equal(r.changes, []uint64{1, 2})
}

// Guards against putting a document in force that cannot be decoded or that belongs to
// another deployment. The view becomes stale instead.
func TestUnusableDocumentIsNotPutInForce(t *testing.T) {
	for name, change := range map[string][2]string{
		"not decodable":      {"\nshift:", "\nshipped:"},
		"another deployment": {"deployment: bancas", "deployment: tama-cuirs"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newSyncerFixture()
			is.NoErr(r.pollDocument(exampleDocument(t, 1), 1))
			r.clock.Advance(MaxViewAge + 1)
			is.True(r.pollDocument(exampleDocument(t, 2, change[0], change[1]), 2) != nil)
			is.Equal(r.load().revision, uint64(1))
			is.True(!r.fresh())
			is.Equal(r.changes, []uint64{1})
			is.NoErr(r.pollDocument(exampleDocument(t, 3), 3))
			is.True(r.fresh())
		})
	}
}

// Guards against ranking callers by the client blocks of the previous document because
// a rejected document in between had the new blocks.
func TestBlocksOfARejectedDocumentAreNotKept(t *testing.T) {
	is := is.New(t)
	r := newSyncerFixture()
	is.NoErr(r.pollDocument(exampleDocument(t, 1), 1))
	old := r.load().blocks
	moved := []string{"cidr: 10.10.0.0/16", "cidr: 10.99.0.0/16"}
	foreign := append([]string{"deployment: bancas", "deployment: tama-cuirs"}, moved...)
	is.True(errors.Is(r.pollDocument(exampleDocument(t, 2, foreign...), 2), ErrDeploymentMismatch))
	is.NoErr(r.pollDocument(exampleDocument(t, 3, moved...), 3))
	is.True(r.load().blocks != old)
}

// Guards against mixing two documents: a revision that is removed while its chunks are
// fetched is not put in force, and the next poll starts over.
func TestChunksOfARemovedRevision(t *testing.T) {
	is := is.New(t)
	r := newSyncerFixture()
	is.True(errors.Is(r.pollReply(snapshotReply(exampleDocument(t, 1), 1)), ErrSnapshot))
	is.Equal(r.load().revision, uint64(0))
	is.NoErr(r.pollDocument(exampleDocument(t, 2), 2))
	r.chunks[3] = exampleDocument(t, 2) // the chunks of another document
	is.True(errors.Is(r.pollReply(snapshotReply(exampleDocument(t, 3), 3)), ErrSnapshot))
	is.Equal(r.load().revision, uint64(2))
}

// Guards against a large document that can never be fetched because all its chunks
// share the timeout of one poll.
func TestChunksMayTakeLongerThanAPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newSyncerFixture()
		raw := exampleDocument(t, 1)
		r.control.chunk = func(ctx context.Context, in *apipb.ChunkRequest) (*apipb.ChunkReply, error) {
			pause(ctx, time.Second)
			size := (len(raw) + 3) / 4
			start := int(in.Chunk) * size
			return &apipb.ChunkReply{Data: raw[start:min(len(raw), start+size)]}, ctx.Err()
		}
		reply := snapshotReply(raw, 1)
		reply.SnapshotChunks = 4
		is.NoErr(r.pollReply(reply))
		is.Equal(r.load().raw, raw)
	})
}

// Guards against a request that goes on after its key was revoked: onChange revalidates
// running requests and must find the new view in force.
func TestViewIsInForceBeforeOnChange(t *testing.T) {
	is := is.New(t)
	r := newSyncerFixture()
	var seen []uint64
	r.onChange = func(*view) { seen = append(seen, r.load().revision) }
	is.NoErr(r.pollDocument(exampleDocument(t, 1), 1))
	is.NoErr(r.pollDocument(exampleDocument(t, 2), 2))
	is.Equal(seen, []uint64{1, 2})
}
