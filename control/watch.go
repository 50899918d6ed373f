package control

import (
	"context"
	"math"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/store"
)

// watchState is the state of the loop from which a poll is answered.
type watchState struct {
	version          *store.Version
	base             *store.Version
	age              time.Duration
	confirmed        bool
	at               clock.Instant // when age was measured
	leader           string
	jobsWaiting      bool
	controlAddresses []string
	changed          <-chan struct{}
}

// Watch answers a poll as soon as there is a newer revision than the caller's, the state is confirmed as recently as
// the caller asks, or the wait time has elapsed.
func (e *Engine) Watch(ctx context.Context, request *apipb.WatchRequest) (*apipb.WatchReply, error) {
	wait := min(time.Duration(request.WaitMs)*time.Millisecond, MaxWatchWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	arrived := e.cfg.Clock.Now()
	for {
		state, err := e.watchState(ctx, request)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if state.answers(request) {
			return e.replyTo(request, &state, arrived)
		}
		select {
		case <-state.changed:
		case <-timer.C:
			return e.replyAfterWait(ctx, request, arrived)
		case <-ctx.Done():
			return nil, errors.Trace(ctx.Err())
		case <-e.done:
			return nil, errors.Trace(ErrStopped)
		}
	}
}

// replyAfterWait answers with the state at the end of the wait, whose age is lower
// than at the start.
func (e *Engine) replyAfterWait(ctx context.Context, request *apipb.WatchRequest, arrived clock.Instant) (*apipb.WatchReply, error) {
	state, err := e.watchState(ctx, request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return e.replyTo(request, &state, arrived)
}

func (e *Engine) watchState(ctx context.Context, request *apipb.WatchRequest) (watchState, error) {
	var state watchState
	err := e.do(ctx, func() {
		now := e.cfg.Clock.Now()
		e.confirmation.recordPoll(now)
		state.version = e.store.InForce(request.Environment)
		state.base = e.store.ByRevision(request.Environment, request.HaveRevision)
		state.at = now
		state.age, state.confirmed = e.confirmation.age(now)
		state.leader = e.leaderAddress()
		state.jobsWaiting = e.store.HasUnfinishedJobs(request.Environment)
		state.changed = e.changed
		for _, m := range e.node.Status().Members.GetMembers() {
			state.controlAddresses = append(state.controlAddresses, m.RpcAddress)
		}
	})
	return state, err
}

// answers reports whether a poll is answered before its wait has elapsed. A caller that must not act on an unconfirmed
// state gets no such change, but for its first state, which may take long to fetch.
func (s *watchState) answers(request *apipb.WatchRequest) bool {
	limit := time.Duration(request.ConfirmedWithinMs) * time.Millisecond
	if limit == 0 || request.HaveRevision == 0 && s.version != nil {
		return s.hasNewer(request)
	}
	return s.confirmed && s.age <= limit
}

func (s *watchState) hasNewer(request *apipb.WatchRequest) bool {
	return s.version != nil && s.version.Revision > request.HaveRevision
}

// replyTo answers a poll that arrived at the given instant.
func (e *Engine) replyTo(request *apipb.WatchRequest, s *watchState, arrived clock.Instant) (*apipb.WatchReply, error) {
	reply := &apipb.WatchReply{
		Kind:             apipb.WatchKind_WATCH_KIND_UNCHANGED,
		Confirmed:        s.confirmed,
		ConfirmedAgeMs:   ageMS(s.age),
		HeldMs:           heldMS(arrived, s.at),
		LeaderAddress:    s.leader,
		JobsWaiting:      s.jobsWaiting,
		ControlAddresses: s.controlAddresses,
	}
	if s.version == nil {
		return reply, nil
	}
	reply.Revision, reply.Number, reply.Digest = s.version.Revision, s.version.Number, s.version.Digest
	switch {
	case !s.hasNewer(request):
		return reply, nil
	case request.AcceptsUpdates:
		return reply, errors.Trace(e.addUpdate(reply, request, s))
	}
	s.addState(reply, request)
	return reply, nil
}

// addUpdate adds the steps from the caller's state, or tells how many chunks of them to fetch.
func (e *Engine) addUpdate(reply *apipb.WatchReply, request *apipb.WatchRequest, s *watchState) error {
	base := s.base
	if base != nil && base.Digest != request.HaveDigest {
		base = nil
	}
	update, err := e.updates.get(request.Environment, base, s.version)
	if err != nil {
		return errors.Trace(err)
	}
	if update.chunks() == 0 {
		reply.Kind, reply.Sections = apipb.WatchKind_WATCH_KIND_DELTA, update.sections
		return nil
	}
	reply.Kind, reply.UpdateChunks = apipb.WatchKind_WATCH_KIND_UPDATE, update.chunks()
	if base != nil {
		reply.UpdateBase = base.Revision
	}
	return nil
}

// addState adds the same for a caller of an earlier version, which fetches whole states only.
func (s *watchState) addState(reply *apipb.WatchReply, request *apipb.WatchRequest) {
	switch {
	case s.base != nil && s.base.Digest == request.HaveDigest:
		reply.Kind = apipb.WatchKind_WATCH_KIND_DELTA
		reply.Sections = document.Delta(s.base.Raw, s.version.Raw)
	case request.Environment == apipb.Environment_ENVIRONMENT_PLAN && len(s.version.Raw) <= chunkBytes:
		// Sending a small state in this reply saves a round trip.
		reply.Kind = apipb.WatchKind_WATCH_KIND_DELTA
		reply.Sections = []*apipb.Section{{Data: s.version.Raw}}
	default:
		reply.Kind = apipb.WatchKind_WATCH_KIND_SNAPSHOT
		reply.SnapshotChunks = chunkCount(s.version.Raw)
	}
}

// ageMS rounds up: a view must not count as complete up to an instant that no majority
// has confirmed.
func ageMS(age time.Duration) uint32 {
	return uint32(min((age + time.Millisecond - 1).Milliseconds(), math.MaxUint32))
}

func chunkCount(raw []byte) uint32 {
	return uint32((len(raw) + chunkBytes - 1) / chunkBytes)
}

// fetchUpdateChunk returns one chunk of an update.
func (e *Engine) fetchUpdateChunk(ctx context.Context, request *apipb.ChunkRequest) (*apipb.ChunkReply, error) {
	update := e.updates.lookup(updateKey{request.Environment, request.UpdateBase, request.Revision})
	if update == nil {
		var base, version *store.Version
		err := e.do(ctx, func() {
			base = e.store.ByRevision(request.Environment, request.UpdateBase)
			version = e.store.ByRevision(request.Environment, request.Revision)
		})
		if err != nil {
			return nil, errors.Trace(err)
		}
		if version == nil || base == nil && request.UpdateBase != 0 {
			return &apipb.ChunkReply{Gone: true}, nil
		}
		if update, err = e.updates.get(request.Environment, base, version); err != nil {
			return nil, errors.Trace(err)
		}
	}
	if request.Chunk >= update.chunks() {
		return &apipb.ChunkReply{Gone: true}, nil
	}
	return &apipb.ChunkReply{Data: update.chunk(request.Chunk), Chunks: update.chunks()}, nil
}

// FetchChunk returns one chunk of a document or of an update. Chunks of one revision never
// change, so a caller may fetch them from different control daemons.
func (e *Engine) FetchChunk(ctx context.Context, request *apipb.ChunkRequest) (*apipb.ChunkReply, error) {
	if request.Update {
		return e.fetchUpdateChunk(ctx, request)
	}
	var version *store.Version
	if err := e.do(ctx, func() { version = e.store.ByRevision(request.Environment, request.Revision) }); err != nil {
		return nil, errors.Trace(err)
	}
	if version == nil || request.Chunk >= chunkCount(version.Raw) {
		return &apipb.ChunkReply{Gone: true}, nil
	}
	start := int(request.Chunk) * chunkBytes
	return &apipb.ChunkReply{
		Data:   version.Raw[start:min(start+chunkBytes, len(version.Raw))],
		Chunks: chunkCount(version.Raw),
	}, nil
}

// heldMS returns how long a poll has certainly waited. A wall clock that was set forward must not make
// the state look more recent, and a suspended VM counts its time in part only.
func heldMS(arrived, now clock.Instant) uint32 {
	held := min(now.Mono-arrived.Mono, now.Boot-arrived.Boot)
	return uint32(max(0, min(held, MaxWatchWait)).Milliseconds())
}
