package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/document"
)

// watcherDelay is the delay between a watcher and its control daemon. It is not a whole
// number of milliseconds, so that errors in the rounding of ages show.
const watcherDelay = 1500 * time.Microsecond

// watcher polls a control daemon like an entry daemon.
type watcher struct {
	node        *simNode
	raw         []byte
	revision    uint64
	digest      string
	confirmed   bool
	confirmedAt time.Time // everything accepted before it is in the view
	age         time.Duration
	replies     atomic.Int64
	bytes       atomic.Int64 // size of requests and replies
	// onReply is called with every confirmed reply and the instant up to which it claims
	// to be complete.
	onReply func(reply *apipb.WatchReply, upTo time.Time)
}

// poll sends one request and applies the reply.
func (w *watcher) poll() error {
	ctx, cancel := context.WithTimeout(w.node.cluster.ctx, 1500*time.Millisecond)
	defer cancel()
	sent := time.Now()
	sleepFor(ctx, watcherDelay)
	request := &apipb.WatchRequest{
		Environment: trial, HaveRevision: w.revision, HaveDigest: w.digest, WaitMs: 1000, Vm: "bogota-entry-1", Incarnation: 1 << 60,
	}
	reply, err := w.node.service().Watch(ctx, request)
	if err != nil {
		return err
	}
	sleepFor(ctx, watcherDelay)
	w.replies.Add(1)
	w.bytes.Add(int64(proto.Size(request) + proto.Size(reply)))
	w.age = time.Duration(reply.ConfirmedAgeMs) * time.Millisecond
	at := sent.Add(time.Duration(reply.HeldMs)*time.Millisecond - w.age)
	if w.onReply != nil && reply.Confirmed {
		w.onReply(reply, at)
	}
	if reply.Revision < w.revision {
		return errors.Errorf("revision %d after %d", reply.Revision, w.revision)
	}
	if err := w.apply(ctx, reply); err != nil {
		return err
	}
	w.confirmed = reply.Confirmed
	if reply.Confirmed && at.After(w.confirmedAt) {
		w.confirmedAt = at
	}
	return nil
}

func (w *watcher) apply(ctx context.Context, reply *apipb.WatchReply) error {
	var raw []byte
	switch reply.Kind {
	case apipb.WatchKind_WATCH_KIND_UNCHANGED:
		return nil
	case apipb.WatchKind_WATCH_KIND_DELTA:
		var err error
		if raw, err = document.ApplyDelta(w.raw, reply.Sections, reply.Digest); err != nil {
			return err
		}
	default:
		for chunk := range reply.SnapshotChunks {
			got, err := w.node.service().FetchChunk(ctx, &apipb.ChunkRequest{Environment: trial, Revision: reply.Revision, Chunk: chunk})
			if err != nil || got.Gone {
				return errors.Errorf("chunk %d: %v %v", chunk, got, err)
			}
			w.bytes.Add(int64(proto.Size(got)))
			raw = append(raw, got.Data...)
		}
	}
	if document.Digest(raw) != reply.Digest {
		return errors.Errorf("revision %d: digest mismatch", reply.Revision)
	}
	w.raw, w.revision, w.digest = raw, reply.Revision, reply.Digest
	return nil
}
