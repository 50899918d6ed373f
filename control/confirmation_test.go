package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/consensus"
)

// Guards against a confirmation that counts before its entries are applied, that goes
// back in time, or that ignores the suspension of a VM.
func TestConfirmationWaitsForApply(t *testing.T) {
	is := is.New(t)
	clk, c := &clock.Manual{}, confirmation{}
	c.init()
	early := c.startRead(clk.Now())
	clk.Advance(time.Second)
	late := c.startRead(clk.Now())
	c.completeReads([]consensus.ReadState{{RequestID: late, Index: 9}}, 8)
	_, confirmed := c.age(clk.Now())
	is.True(!confirmed)
	c.completeReads(nil, 9)
	age, confirmed := c.age(clk.Now())
	is.True(confirmed)
	is.Equal(age, time.Duration(0))
	c.completeReads([]consensus.ReadState{{RequestID: early, Index: 9}, {RequestID: late, Index: 9}}, 9)
	clk.Suspend(time.Minute)
	age, _ = c.age(clk.Now())
	is.Equal(age, time.Minute)
}

// Guards against a delta to a document that the watcher does not have.
func TestDeltaNeedsTheDigestOfItsBase(t *testing.T) {
	simulate(t, 1, func(b *simCluster) {
		is := is.New(b.t)
		first := b.nodes[0].mustSubmit("trial", documentOf(1, 0))
		b.nodes[0].mustSubmit("trial", documentOf(2, 0))
		for digest, kind := range map[string]apipb.WatchKind{
			first.Digest: apipb.WatchKind_WATCH_KIND_DELTA, "other": apipb.WatchKind_WATCH_KIND_SNAPSHOT,
		} {
			reply, err := b.nodes[0].service().Watch(b.ctx, &apipb.WatchRequest{
				Environment: trial, HaveRevision: first.Revision, HaveDigest: digest,
			})
			is.NoErr(err)
			is.Equal(reply.Kind, kind)
		}
	})
}
