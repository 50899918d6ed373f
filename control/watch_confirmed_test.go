package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/apipb"
)

// pollConfirmed polls for a state confirmed within half a second, and returns the reply and how long it took.
func (n *simNode) pollConfirmed(have *apipb.WatchReply) (*apipb.WatchReply, time.Duration) {
	n.cluster.t.Helper()
	began := time.Now()
	reply, err := n.service().Watch(n.cluster.ctx, &apipb.WatchRequest{
		Environment: trial, HaveRevision: have.GetRevision(), HaveDigest: have.GetDigest(),
		WaitMs: uint32(MaxWatchWait.Milliseconds()), ConfirmedWithinMs: 500,
	})
	is.New(n.cluster.t).NoErr(err)
	return reply, time.Since(began)
}

// Guards against a VM that starts or resumes from a pause and waits a whole poll until it may act on its view, because
// nothing has changed.
func TestPollForAConfirmationEndsWithIt(t *testing.T) {
	simulate(t, 3, func(b *simCluster) {
		is := is.New(b.t)
		b.nodes[0].mustSubmit("trial", documentOf(1, 0))
		time.Sleep(2 * confirmAfterPoll) // no daemon is polled, so none confirms its state
		for _, n := range b.nodes {
			have, _ := n.pollConfirmed(nil)
			reply, took := n.pollConfirmed(have)
			is.Equal(reply.Kind, apipb.WatchKind_WATCH_KIND_UNCHANGED)
			is.True(reply.Confirmed)
			is.True(reply.ConfirmedAgeMs <= 500)
			is.True(took < MaxWatchWait/2) // a tick, and two round trips between regions
		}
	})
}

// Guards against a VM that must not act on an unconfirmed state and gets one, from a daemon that is behind.
func TestPollForAConfirmationGetsNoUnconfirmedChange(t *testing.T) {
	simulate(t, 3, func(b *simCluster) {
		is := is.New(b.t)
		b.nodes[0].mustSubmit("trial", documentOf(1, 0))
		behind := b.others(b.leader())[0]
		have, _ := behind.pollConfirmed(nil)
		is.True(have.Revision > 0)
		b.nodes[0].mustSubmit("trial", documentOf(2, 0))
		b.eventually("the next document", func() bool {
			reply, _ := behind.pollConfirmed(nil)
			return reply.Revision > have.Revision
		})
		b.net.setIsolated(behind.name, true)
		time.Sleep(time.Second)
		reply, took := behind.pollConfirmed(have)
		is.Equal(took, MaxWatchWait)
		is.True(reply.ConfirmedAgeMs > 500)
		b.net.setIsolated(behind.name, false)
		b.eventually("a confirmed state", func() bool {
			reply, took = behind.pollConfirmed(have)
			return took < MaxWatchWait && reply.ConfirmedAgeMs <= 500
		})
		is.True(reply.Revision > have.Revision)
	})
}

// Guards against a first state that is fetched only once it is confirmed: after a start of all VMs, it is needed as soon
// as there is a leader.
func TestFirstStateIsSentBeforeItIsConfirmed(t *testing.T) {
	simulate(t, 3, func(b *simCluster) {
		is := is.New(b.t)
		b.nodes[0].mustSubmit("trial", documentOf(1, 0))
		n := b.others(b.leader())[0]
		b.eventually("the document", func() bool {
			reply, _ := n.pollConfirmed(nil)
			return reply.Revision > 0
		})
		b.net.setIsolated(n.name, true)
		n.restart()
		var reply *apipb.WatchReply
		var took time.Duration
		b.eventually("the document after the restart", func() bool {
			if n.engine() == nil {
				return false
			}
			reply, took = n.pollConfirmed(nil)
			return reply.Revision > 0
		})
		is.True(!reply.Confirmed)
		is.True(took < TickInterval)
	})
}

// Guards against a daemon that starts and answers its first poll from the snapshot, although the log behind it holds later
// changes: an entry VM of an earlier release takes such a state for the newest.
func TestFirstPollAfterAStartIsAnsweredFromTheLog(t *testing.T) {
	simulate(t, 3, func(b *simCluster) {
		is := is.New(b.t)
		for number := uint64(1); number <= 2; number++ {
			b.nodes[0].mustSubmit("trial", longDocument(number, minSnapshotLogBytes*3/4)) // with the second a snapshot is due
		}
		b.nodes[0].mustSubmit("trial", documentOf(3, 0))
		n := b.others(b.leader())[0]
		b.eventually("the documents", func() bool {
			reply, _ := n.pollConfirmed(nil)
			return reply.Number == 3
		})
		time.Sleep(time.Second) // the commit index is persisted with a later write at the latest
		b.net.setIsolated(n.name, true)
		n.restart()
		b.eventually("the restart", func() bool { return n.engine() != nil })
		reply, took := n.pollConfirmed(nil)
		is.Equal(reply.Number, uint64(3))
		is.True(took < TickInterval)
	})
}
