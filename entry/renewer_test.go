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
	"pistachiomount.example/pistachiomount/grant"
)

// newTestRenewer returns a renewer in front of control daemons a, b and c.
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
		log:      quietLog(), describe: func() *apipb.Vm { return &apipb.Vm{Name: "vm"} },
		onFleet: func(uint64, []*apipb.Vm) {}, onRenewed: func() {}, turn: make(chan struct{}, 1),
	}, d
}

func leads(term uint64) func(*apipb.RenewRequest) (*apipb.RenewReply, error) {
	return func(in *apipb.RenewRequest) (*apipb.RenewReply, error) {
		return &apipb.RenewReply{Term: term, Sequence: in.Sequence, LeaseMs: 3000}, nil
	}
}

func follows(leader string) func(*apipb.RenewRequest) (*apipb.RenewReply, error) {
	return func(in *apipb.RenewRequest) (*apipb.RenewReply, error) {
		return &apipb.RenewReply{Term: 1, Sequence: in.Sequence, NotLeader: true, LeaderAddress: leader}, nil
	}
}

func fails(*apipb.RenewRequest) (*apipb.RenewReply, error) { return nil, errFake }

// Guards against grants that end because renewals go on at a daemon that does
// not lead, is dead, or led an earlier term.
func TestRenewalsFindTheLeader(t *testing.T) {
	type answers = map[string]func(*apipb.RenewRequest) (*apipb.RenewReply, error)
	for _, c := range []struct {
		name, named string
		answers     answers
		term        uint64 // seen before
		want        string // who is asked, in order
	}{
		{"the named leader", "c", answers{"c": leads(1)}, 0, "c"},
		{"a follower names it", "", answers{"a": follows("c"), "c": leads(1)}, 0, "a c"},
		{"the named leader fails", "c", answers{"c": fails, "a": leads(2)}, 0, "c a"},
		{"the address cannot be used", "x", answers{"a": leads(1)}, 0, "x a"},
		{"a follower knows no leader", "", answers{"a": follows(""), "b": leads(1)}, 0, "a b"},
		{"the named leader leads a former term", "a", answers{"a": leads(4), "b": follows("c"), "c": leads(5)}, 5, "a b c"},
		{"a dead leader is named once more", "", answers{"a": follows("c"), "c": fails, "b": leads(2)}, 0, "a c a c"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r, d := newTestRenewer(goClock{}, c.answers)
				if c.term > 0 {
					_ = r.holder.Accept(&apipb.RenewReply{Term: c.term, Sequence: r.holder.BuildRequest().Sequence, LeaseMs: 1})
				}
				r.controls.setLeader(c.named)
				_ = r.insist(t.Context())
				is.Equal(d.take(), c.want)
			})
		})
	}
}

// Guards against two renewals at once: the later one makes the reply to the
// earlier one void, as at a planned stop, when grants would not be handed back.
func TestRenewalsDoNotOvertake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, _ := newTestRenewer(goClock{}, map[string]func(*apipb.RenewRequest) (*apipb.RenewReply, error){
			"a": func(in *apipb.RenewRequest) (*apipb.RenewReply, error) {
				time.Sleep(100 * time.Millisecond)
				return leads(1)(in)
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

// Guards against a claim that fails because the first control daemon is silent.
func TestCommandsLeaveASilentDaemon(t *testing.T) {
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
		is.Equal(d.take(), "a b c")
		_, err = (&commands{controls: newControls(nil, 0, d)}).Claim(t.Context(), &apipb.ClaimRequest{})
		is.True(errors.Is(err, ErrNoControl))
	})
}
