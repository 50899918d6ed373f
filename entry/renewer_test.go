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
	"pistachiomount.example/pistachiomount/grant"
)

// newTestRenewer returns a renewer with control daemons a, b and c. Those without an
// answer cannot be dialed.
func newTestRenewer(c clock.Clock, answers map[string]func(*apipb.RenewRequest) (*apipb.RenewReply, error)) (*renewer, *fakeDialer) {
	d := &fakeDialer{daemons: map[string]*fakeControl{}}
	for address, answer := range answers {
		d.daemons[address] = &fakeControl{renew: func(_ context.Context, in *apipb.RenewRequest) (*apipb.RenewReply, error) {
			return answer(in)
		}}
	}
	return &renewer{
		controls: newControls([]string{"a", "b", "c"}, 0, d),
		holder:   grant.NewHolder(grant.HolderConfig{VM: "vm", Incarnation: 1}, c),
		log:      discardLog(), vmStatus: func() *apipb.Vm { return &apipb.Vm{Name: "vm"} },
		onFleet: func(uint64, []*apipb.Vm) {}, onRenewed: func() {}, renewing: make(chan struct{}, 1),
		knowledge: newKnowledge(continuity.New(c, nil), c, MaxViewAge),
	}, d
}

func replyAsLeader(term uint64) func(*apipb.RenewRequest) (*apipb.RenewReply, error) {
	return func(in *apipb.RenewRequest) (*apipb.RenewReply, error) {
		return &apipb.RenewReply{Term: term, Sequence: in.Sequence, LeaseMs: 3000}, nil
	}
}

func replyAsFollower(leader string) func(*apipb.RenewRequest) (*apipb.RenewReply, error) {
	return func(in *apipb.RenewRequest) (*apipb.RenewReply, error) {
		return &apipb.RenewReply{Term: 1, Sequence: in.Sequence, NotLeader: true, LeaderAddress: leader}, nil
	}
}

func replyWithError(*apipb.RenewRequest) (*apipb.RenewReply, error) { return nil, errFake }

// Guards against a VM that waits for its next renewal although it was told who leads, and against one
// that follows wrong answers without end.
func TestRenewalFollowsTheNamedLeaderAtOnce(t *testing.T) {
	for leader, want := range map[string]string{"c": "a c", "": "a", "a": "a a"} {
		synctest.Test(t, func(t *testing.T) {
			r, d := newTestRenewer(processClock{}, map[string]func(*apipb.RenewRequest) (*apipb.RenewReply, error){
				"a": replyAsFollower(leader), "c": replyAsLeader(1),
			})
			r.renewAndReport(t.Context())
			is.New(t).Equal(d.takeDialed(), want)
		})
	}
}

// Guards against grants that expire because renewals keep going to a daemon that does
// not lead, is dead, or led an earlier term.
func TestRenewalsFindTheLeader(t *testing.T) {
	type answers = map[string]func(*apipb.RenewRequest) (*apipb.RenewReply, error)
	for _, c := range []struct {
		name, named string
		answers     answers
		term        uint64 // of the last accepted reply
		want        string // addresses asked, in order
	}{
		{"the named leader", "c", answers{"c": replyAsLeader(1)}, 0, "c"},
		{"a follower names it", "", answers{"a": replyAsFollower("c"), "c": replyAsLeader(1)}, 0, "a c"},
		{"the named leader fails", "c", answers{"c": replyWithError, "a": replyAsLeader(2)}, 0, "c a"},
		{"the address cannot be used", "x", answers{"a": replyAsLeader(1)}, 0, "x a"},
		{"a follower knows no leader", "", answers{"a": replyAsFollower(""), "b": replyAsLeader(1)}, 0, "a b"},
		{"the named leader leads a former term", "a", answers{"a": replyAsLeader(4), "b": replyAsFollower("c"), "c": replyAsLeader(5)}, 5, "a b c"},
		{"a dead leader is named once more", "", answers{"a": replyAsFollower("c"), "c": replyWithError, "b": replyAsLeader(2)}, 0, "a c a c"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r, d := newTestRenewer(processClock{}, c.answers)
				if c.term > 0 {
					_ = r.holder.Accept(&apipb.RenewReply{Term: c.term, Sequence: r.holder.BuildRequest().Sequence, LeaseMs: 1})
				}
				r.controls.setLeader(c.named)
				_ = r.renewWithRetry(t.Context())
				is.Equal(d.takeDialed(), c.want)
			})
		})
	}
}

// Guards against concurrent renewals: the later one invalidates the reply to the
// earlier one, so that a planned stop, for example, would not return its grants.
func TestRenewalsDoNotOverlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, _ := newTestRenewer(processClock{}, map[string]func(*apipb.RenewRequest) (*apipb.RenewReply, error){
			"a": func(in *apipb.RenewRequest) (*apipb.RenewReply, error) {
				time.Sleep(100 * time.Millisecond)
				return replyAsLeader(1)(in)
			},
		})
		failed := make(chan error, 2)
		for range 2 {
			go func() { failed <- r.renew(t.Context()) }()
		}
		is.NoErr(<-failed)
		is.NoErr(<-failed)
	})
}

// Guards against a claim that fails because the first control daemon does not answer.
func TestCommandsRetryAfterASilentDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &fakeDialer{daemons: map[string]*fakeControl{
			"a": {claim: func(ctx context.Context, _ *apipb.ClaimRequest) (*apipb.ClaimReply, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}},
			"c": {claim: func(context.Context, *apipb.ClaimRequest) (*apipb.ClaimReply, error) {
				return &apipb.ClaimReply{Status: apipb.ClaimStatus_CLAIM_STATUS_GRANTED}, nil
			}},
		}}
		c := &commands{controls: newControls([]string{"a", "b", "c"}, 0, d)}
		reply, err := c.Claim(t.Context(), &apipb.ClaimRequest{AttemptId: 1})
		is.NoErr(err)
		is.Equal(reply.Status, apipb.ClaimStatus_CLAIM_STATUS_GRANTED)
		is.Equal(d.takeDialed(), "a b c")
		_, err = (&commands{controls: newControls(nil, 0, d)}).Claim(t.Context(), &apipb.ClaimRequest{})
		is.True(errors.Is(err, ErrNoControl))
	})
}
