package entry

import (
	"context"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/document"
)

// fetchSnapshot fetches a document in chunks and verifies its digest. Each chunk has
// its own timeout, because a large document takes longer than one poll may.
func fetchSnapshot(ctx context.Context, client apipb.DRPCControlClient, env apipb.Environment, reply *apipb.WatchReply) ([]byte, error) {
	var raw []byte
	for chunk := range reply.SnapshotChunks {
		got, err := fetchChunk(ctx, client, &apipb.ChunkRequest{Environment: env, Revision: reply.Revision, Chunk: chunk})
		if err != nil {
			return nil, errors.Trace(err)
		}
		if got.Gone || len(raw)+len(got.Data) > document.MaxBytes {
			return nil, errors.Annotatef(ErrSnapshot, "revision %d", reply.Revision)
		}
		raw = append(raw, got.Data...)
	}
	if document.Digest(raw) != reply.Digest {
		return nil, errors.Annotatef(ErrSnapshot, "revision %d: digest mismatch", reply.Revision)
	}
	return raw, nil
}

func fetchChunk(ctx context.Context, client apipb.DRPCControlClient, request *apipb.ChunkRequest) (*apipb.ChunkReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	reply, err := client.FetchChunk(ctx, request)
	return reply, errors.Trace(err)
}
