package control

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/grant"
	"pistachiomount.example/pistachiomount/store"
)

// testCustomer is the rate of a customer of the example document.
const testCustomer = "customer/catedral-primada"

// renewalRequest returns the request with the given sequence number of a holder that
// wants the customer's rate and has had no reply yet.
func renewalRequest(sequence uint64) *apipb.RenewRequest {
	holder := newHolder(&clock.Manual{}, "entry-1", testCustomer)
	request := buildRequest(holder, "entry-1")
	for request.Sequence < sequence {
		request = buildRequest(holder, "entry-1")
	}
	return request
}

// newHolder returns a holder with demand for each of the rates.
func newHolder(clk clock.Clock, vm string, rates ...grant.ResourceID) *grant.Holder {
	holder := grant.NewHolder(grant.HolderConfig{Environment: trial, VM: vm, Incarnation: 1}, clk)
	createDemand(holder, rates)
	return holder
}

func createDemand(holder *grant.Holder, rates []grant.ResourceID) {
	for _, id := range rates {
		for range 10 {
			holder.Bucket(id).TryTake(1)
		}
	}
}

func buildRequest(holder *grant.Holder, vm string) *apipb.RenewRequest {
	request := holder.BuildRequest()
	request.Vm = &apipb.Vm{Name: vm, Incarnation: 1, State: apipb.VmState_VM_STATE_SERVING}
	return request
}

// Guards against a leader whose process was paused beyond its lease and that issues
// grants before it notices the pause, although its successor issues them too. Renewals
// that arrived during the pause are queued when the process continues.
func TestPausedLeaderRenewsNothingAfterPause(t *testing.T) {
	simulate(t, 3, func(b *simCluster) {
		is := is.New(b.t)
		old := b.leader()
		old.mustSubmit("trial", documentOf(1, 0))
		reply, err := old.service().Renew(b.ctx, renewalRequest(1))
		is.NoErr(err)
		is.True(!reply.NotLeader)
		old.pause(10 * time.Second)
		next := b.leader(old)
		var wg sync.WaitGroup
		for i := range uint64(5) {
			wg.Go(func() {
				reply, err := old.service().Renew(b.ctx, renewalRequest(2+i))
				is.NoErr(err)
				is.True(reply.NotLeader)
				is.Equal(len(reply.Runs), 0) // no grants
			})
		}
		wg.Wait()
		reply, err = next.service().Renew(b.ctx, renewalRequest(10))
		is.NoErr(err)
		is.True(!reply.NotLeader)
	})
}

// Guards against a leader that names an old revision as the one in force, as after a pause in which its successor accepted
// another: an entry VM would act on the old plan.
func TestRenewalNamesTheRevisionInForce(t *testing.T) {
	simulate(t, 3, func(b *simCluster) {
		is := is.New(b.t)
		old := b.leader()
		first := old.mustSubmit("trial", documentOf(1, 0))
		reply, err := old.service().Renew(b.ctx, renewalRequest(1))
		is.NoErr(err)
		is.Equal(reply.RevisionInForce, first.Revision)
		old.pause(10 * time.Second)
		next := b.leader(old)
		second := next.mustSubmit("trial", documentOf(2, 0))
		var wg sync.WaitGroup
		for i := range uint64(5) {
			wg.Go(func() {
				reply, err := old.service().Renew(b.ctx, renewalRequest(2+i))
				is.NoErr(err)
				is.Equal(reply.RevisionInForce, uint64(0))
			})
		}
		wg.Wait()
		reply, err = next.service().Renew(b.ctx, renewalRequest(10))
		is.NoErr(err)
		is.Equal(reply.RevisionInForce, second.Revision)
	})
}

// Guards against a daemon that formed the cluster and, leading again in a later term,
// immediately grants what holders of the terms in between still hold.
func TestOnlyTheFirstTermHasNoPredecessor(t *testing.T) {
	version := &store.Version{Revision: 5, Number: 1, Raw: documentOf(1, 0)}
	for _, c := range []struct {
		name        string
		first, term uint64
		waits       bool
	}{
		{"first term", 2, 2, false},
		{"later term", 2, 4, true},
		{"formed elsewhere", 0, 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			o := newOwnership(&Config{Clock: &clock.Manual{}, Log: discardLog()})
			o.setFirstTerm(c.first)
			for _, env := range []apipb.Environment{trial, apipb.Environment_ENVIRONMENT_PRODUCTION} {
				holder := newHolder(&clock.Manual{}, "entry-1", testCustomer)
				is.NoErr(holder.Accept(mustTermState(t, o, env, &leadership{term: c.term, version: version}).owner.Renew(buildRequest(holder, "entry-1"), true)))
				is.Equal(holder.Bucket(testCustomer).Depth() == 0, c.waits)
			}
		})
	}
}

// Guards against a leader that issues grants while it transfers leadership: its successor
// may already lead.
func TestLeaderInTransferRenewsNothing(t *testing.T) {
	simulate(t, 3, func(b *simCluster) {
		is := is.New(b.t)
		leader := b.leader()
		leader.mustSubmit("trial", documentOf(1, 0))
		e := leader.engine()
		is.NoErr(e.do(b.ctx, func() { is.True(e.startTransfer()) }))
		reply, err := leader.service().Renew(b.ctx, renewalRequest(1))
		is.NoErr(err)
		is.True(reply.NotLeader)
		next := b.leader(leader)
		reply, err = next.service().Renew(b.ctx, renewalRequest(2))
		is.NoErr(err)
		is.True(!reply.NotLeader)
	})
}

// Guards against a planned stop that costs an election timeout, and against a single
// daemon that waits for a successor that does not exist.
func TestPlannedStopTransfersLeadership(t *testing.T) {
	for voters, limit := range map[int]time.Duration{1: 0, 3: 500 * time.Millisecond} {
		simulate(t, voters, func(b *simCluster) {
			leader := b.leader()
			startedAt := time.Now()
			leader.engine().transferLeadership(b.ctx)
			if took := time.Since(startedAt); took > limit {
				t.Errorf("%d voters: %v, expected at most %v", voters, took, limit)
			}
			if voters > 1 && b.leader() == leader {
				t.Error("the stopping daemon still leads")
			}
		})
	}
}
