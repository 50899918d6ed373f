package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/plan"
	"pistachiomount.example/pistachiomount/store"
)

// maxReplyBytes is what a link of 2 Mbit/s passes in a quarter of the time that a poll of an entry VM has.
const maxReplyBytes = 2_000_000 / 8 * 1500 / 1000 / 4

// planVersion returns the state of a plan with a number of routes.
func planVersion(t *testing.T, revision uint64, routes int) *store.Version {
	t.Helper()
	p := &plan.Plan{Number: revision, Services: []plan.Service{{Name: "huvo11a", HealthPath: "/health"}}}
	for i := range routes {
		p.Routes = append(p.Routes, plan.Route{
			Name: fmt.Sprintf("r-%07x", i*7919), Host: fmt.Sprintf("ficu%d.example", i%40), Prefix: fmt.Sprintf("/lohu%d/%x/", i, i*104729),
			Timeout: 1500 * time.Millisecond, Target: 600 * time.Millisecond, MaxAttempts: 2,
			Split: []plan.WeightedService{{Service: "huvo11a", Weight: 1}},
		})
	}
	encoded, err := plan.Encode(p)
	if err != nil {
		t.Fatal(err)
	}
	raw := plan.EncodeState(encoded, nil)
	return &store.Version{Revision: revision, Number: revision, Digest: document.Digest(raw), Raw: raw}
}

// Guards against entry VMs that stay on an old plan because what they missed does not pass over their links
// within the time of a poll, which was then sent again for ever.
func TestMissedRoutesAreSentInShortReplies(t *testing.T) {
	for name, base := range map[string]*store.Version{"some missed": planVersion(t, 5, 100), "all missed": nil} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := &Engine{updates: newUpdateCache()}
			state := &watchState{version: planVersion(t, 9, 2200), base: base}
			request := &apipb.WatchRequest{Environment: apipb.Environment_ENVIRONMENT_PLAN, AcceptsUpdates: true}
			var have []byte
			if base != nil {
				request.HaveRevision, request.HaveDigest, have = base.Revision, base.Digest, base.Raw
			}
			reply, err := e.replyTo(request, state, clock.Instant{})
			is.NoErr(err)
			is.Equal(reply.Kind, apipb.WatchKind_WATCH_KIND_UPDATE)
			total, data := proto.Size(reply), []byte(nil)
			for chunk := range reply.UpdateChunks {
				got, err := e.FetchChunk(t.Context(), &apipb.ChunkRequest{
					Environment: request.Environment, Revision: reply.Revision, Chunk: chunk, Update: true, UpdateBase: reply.UpdateBase,
				})
				is.NoErr(err)
				is.True(proto.Size(got) <= maxReplyBytes)
				total, data = total+proto.Size(got), append(data, got.Data...)
			}
			is.True(total < len(state.version.Raw)/2)
			raw, err := plan.Decompress(data)
			is.NoErr(err)
			update := &apipb.Update{}
			is.NoErr(proto.Unmarshal(raw, update))
			after, err := document.ApplyDelta(have, update.Sections, reply.Digest)
			is.NoErr(err)
			is.Equal(string(after), string(state.version.Raw))
		})
	}
}

// Guards against a round trip more for small changes, which are nearly all.
func TestSmallChangeIsSentWithTheReply(t *testing.T) {
	is := is.New(t)
	e := &Engine{updates: newUpdateCache()}
	base, version := planVersion(t, 5, 2000), planVersion(t, 9, 2010)
	reply, err := e.replyTo(&apipb.WatchRequest{HaveRevision: 5, HaveDigest: base.Digest, AcceptsUpdates: true}, &watchState{version: version, base: base}, clock.Instant{})
	is.NoErr(err)
	is.Equal(reply.Kind, apipb.WatchKind_WATCH_KIND_DELTA)
	is.True(proto.Size(reply) < 8<<10)
}

// Guards against a delta that each of hundreds of VMs costs the daemon anew, and against updates that are
// kept without bound.
func TestUpdateIsMadeOnceForAllVMs(t *testing.T) {
	is := is.New(t)
	cache, base := newUpdateCache(), planVersion(t, 1, 10)
	first, err := cache.get(apipb.Environment_ENVIRONMENT_PLAN, base, planVersion(t, 2, 20))
	is.NoErr(err)
	again, err := cache.get(apipb.Environment_ENVIRONMENT_PLAN, base, planVersion(t, 2, 20))
	is.NoErr(err)
	is.True(first == again)
	for revision := range uint64(3 * maxCachedUpdates) {
		_, err := cache.get(apipb.Environment_ENVIRONMENT_PLAN, base, planVersion(t, revision+3, 1000))
		is.NoErr(err)
		is.True(len(cache.updates) <= maxCachedUpdates)
		is.True(cache.bytes <= maxCachedUpdateBytes)
	}
}
