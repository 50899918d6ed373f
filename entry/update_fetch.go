package entry

import (
	"context"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/plan"
)

// maxChunkTries is how often a chunk is asked for before the poll is repeated at another control daemon.
const maxChunkTries = 3

// updateFetch fetches updates in chunks and keeps the chunks of one that was interrupted, so that the next
// poll continues with it.
type updateFetch struct {
	// revision, base, digest and chunks are of the update that data are the first chunks of.
	revision, base uint64
	digest         string
	chunks, next   uint32
	data           []byte
}

// fetch returns the state that results from the update of a reply. After ErrDeltaMismatch or
// ErrDocumentMismatch the whole state is needed.
func (f *updateFetch) fetch(ctx context.Context, client apipb.DRPCControlClient, env apipb.Environment, have []byte, reply *apipb.WatchReply) ([]byte, error) {
	f.begin(reply)
	for f.next < f.chunks {
		got, err := f.fetchNext(ctx, client, env)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if got.Gone || len(f.data)+len(got.Data) > document.MaxBytes {
			*f = updateFetch{}
			return nil, errors.Annotatef(ErrSnapshot, "update to revision %d", reply.Revision)
		}
		f.data = append(f.data, got.Data...)
		f.next++
	}
	data := f.data
	*f = updateFetch{}
	raw, err := applyUpdate(have, data, reply)
	return raw, errors.Trace(err)
}

// begin prepares for the update of a reply, unless a part of it has been fetched already.
func (f *updateFetch) begin(reply *apipb.WatchReply) {
	if f.revision == reply.Revision && f.base == reply.UpdateBase && f.digest == reply.Digest && f.chunks == reply.UpdateChunks {
		return
	}
	*f = updateFetch{revision: reply.Revision, base: reply.UpdateBase, digest: reply.Digest, chunks: reply.UpdateChunks}
}

// fetchNext fetches the next chunk. On a slow link beside traffic, a chunk may take longer than a call.
func (f *updateFetch) fetchNext(ctx context.Context, client apipb.DRPCControlClient, env apipb.Environment) (reply *apipb.ChunkReply, err error) {
	for range maxChunkTries {
		reply, err = fetchChunk(ctx, client, &apipb.ChunkRequest{
			Environment: env, Revision: f.revision, Chunk: f.next, Update: true, UpdateBase: f.base,
		})
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return reply, errors.Trace(err)
}

// applyUpdate applies a compressed update to the state in force.
func applyUpdate(have, compressed []byte, reply *apipb.WatchReply) ([]byte, error) {
	raw, err := plan.Decompress(compressed)
	if err != nil {
		return nil, errors.Annotatef(ErrDocumentMismatch, "update to revision %d: %v", reply.Revision, err)
	}
	update := &apipb.Update{}
	if err := proto.Unmarshal(raw, update); err != nil {
		return nil, errors.Annotatef(ErrDocumentMismatch, "update to revision %d: %v", reply.Revision, err)
	}
	if reply.UpdateBase == 0 {
		have = nil
	}
	state, err := document.ApplyDelta(have, update.Sections, reply.Digest)
	return state, errors.Trace(err)
}
