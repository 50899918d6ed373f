package entry

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/plan"
)

// chunkedUpdate is an update of the whole state, in chunks of one kilobyte.
type chunkedUpdate struct {
	state      []byte
	compressed []byte
	reply      *apipb.WatchReply
	asked      []uint32 // the chunks that were asked for
}

func newChunkedUpdate(t *testing.T, revision uint64) *chunkedUpdate {
	t.Helper()
	u := &chunkedUpdate{}
	for i := range 3000 {
		u.state = fmt.Appendf(u.state, "route %d of revision %d\n", i*7919, revision)
	}
	raw, err := proto.Marshal(&apipb.Update{Sections: []*apipb.Section{{Data: u.state}}})
	if err != nil {
		t.Fatal(err)
	}
	if u.compressed, err = plan.Compress(raw); err != nil {
		t.Fatal(err)
	}
	u.reply = &apipb.WatchReply{
		Kind: apipb.WatchKind_WATCH_KIND_UPDATE, Revision: revision, Digest: document.Digest(u.state),
		UpdateChunks: uint32(len(u.compressed)/1024 + 1),
	}
	return u
}

// control returns a control daemon that serves the chunks up to one that it fails to send.
func (u *chunkedUpdate) control(failAt uint32) *fakeControl {
	return &fakeControl{chunk: func(_ context.Context, in *apipb.ChunkRequest) (*apipb.ChunkReply, error) {
		u.asked = append(u.asked, in.Chunk)
		if in.Chunk == failAt {
			return nil, errFake
		}
		start := int(in.Chunk) * 1024
		return &apipb.ChunkReply{Data: u.compressed[start:min(start+1024, len(u.compressed))], Chunks: u.reply.UpdateChunks}, nil
	}}
}

const never = 1 << 30

// Guards against a VM that begins an update anew after each interruption, and never completes it.
func TestUpdateContinuesWhereItWasInterrupted(t *testing.T) {
	is := is.New(t)
	u := newChunkedUpdate(t, 7)
	var f updateFetch
	_, err := f.fetch(t.Context(), u.control(5), apipb.Environment_ENVIRONMENT_PLAN, nil, u.reply)
	is.True(err != nil)
	is.True(!needsWhole(err))
	is.Equal(u.asked, []uint32{0, 1, 2, 3, 4, 5, 5, 5})
	u.asked = nil
	state, err := f.fetch(t.Context(), u.control(never), apipb.Environment_ENVIRONMENT_PLAN, nil, u.reply)
	is.NoErr(err)
	is.Equal(u.asked[0], uint32(5))
	is.True(bytes.Equal(state, u.state))
}

// Guards against chunks of two updates that are combined.
func TestUpdateOfANewerRevisionBeginsAnew(t *testing.T) {
	is := is.New(t)
	old, newer := newChunkedUpdate(t, 7), newChunkedUpdate(t, 8)
	var f updateFetch
	_, err := f.fetch(t.Context(), old.control(5), apipb.Environment_ENVIRONMENT_PLAN, nil, old.reply)
	is.True(err != nil)
	state, err := f.fetch(t.Context(), newer.control(never), apipb.Environment_ENVIRONMENT_PLAN, nil, newer.reply)
	is.NoErr(err)
	is.Equal(newer.asked[0], uint32(0))
	is.True(bytes.Equal(state, newer.state))
}

// Guards against a damaged update that is put in force, or asked for in the same form again.
func TestDamagedUpdateIsReplacedByTheWholeState(t *testing.T) {
	is := is.New(t)
	u := newChunkedUpdate(t, 7)
	u.compressed[len(u.compressed)/2] ^= 1
	var f updateFetch
	_, err := f.fetch(t.Context(), u.control(never), apipb.Environment_ENVIRONMENT_PLAN, nil, u.reply)
	is.True(needsWhole(err))
}
