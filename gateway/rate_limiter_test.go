package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/entry"
	"pistachiomount.example/pistachiomount/transport"
)

// slowOwner grants tokens after a delay.
type slowOwner struct{ delay time.Duration }

func (o slowOwner) Take(context.Context, *apipb.TakeRequest) (*apipb.TakeReply, error) {
	time.Sleep(o.delay)
	return &apipb.TakeReply{Granted: true, Epoch: 3}, nil
}

// serveRates serves the owner of rates until the end of the test and returns its address.
func serveRates(t *testing.T, security *transport.Security, owner apipb.DRPCRatesServer) string {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	mux := drpcmux.New()
	if err := apipb.DRPCRegisterRates(mux, owner); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- transport.NewServer(security, map[transport.Role]drpc.Handler{transport.RoleControl: mux}, log).Serve(ctx, listener)
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// Guards against rejecting requests within the rate because the VM that owns the rate answers late: on
// a link of 2 Mbit/s, two request bodies of 24 kB, one in each direction, delay an answer by 200 ms.
func TestTokenIsTakenOverABusyLink(t *testing.T) {
	is := is.New(t)
	security := &transport.Security{Insecure: true}
	follower := entry.NewPlanFollower(entry.FollowerConfig{Security: security, Clock: clock.NewSystem()})
	defer follower.Peers().Close()
	r := &rateLimiter{follower: follower}
	owner := &apipb.Vm{Name: "owner", RpcAddress: serveRates(t, security, slowOwner{200 * time.Millisecond})}
	taken, _, err := r.takeFrom(t.Context(), owner, "customer")
	is.NoErr(err)
	is.True(taken != nil)
}

// Guards against callers within their rate being told that they exceed it, because the VM that owns
// the rate holds no share of it yet, as after a restart of all VMs.
func TestOwnerWithoutShareDoesNotCountAsExceededRate(t *testing.T) {
	is := is.New(t)
	security := &transport.Security{Insecure: true}
	follower := entry.NewPlanFollower(entry.FollowerConfig{Security: security, Clock: clock.NewSystem()})
	defer follower.Peers().Close()
	r := &rateLimiter{follower: follower}
	owner := &apipb.Vm{Name: "owner", RpcAddress: serveRates(t, security, &rateService{follower: follower})}
	taken, denied, err := r.takeFrom(t.Context(), owner, "customer")
	is.NoErr(err)
	is.True(taken == nil)
	is.True(denied.noShare)
}

// Guards against callers that leave while their token is taken: the VM that owns the rate was skipped for
// a second, and requests within the rate were rejected.
func TestCallerThatLeavesDoesNotMakeTheOwnerUnreachable(t *testing.T) {
	is := is.New(t)
	f := newFakeUpstreams(t, 1, func(int, http.ResponseWriter, *http.Request) {})
	r := newTestRequest(t, f, true)
	owner := &countingOwner{left: 1, delay: 50 * time.Millisecond}
	limitToOwner(t, r, owner)
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, leave)
	first := *r
	r.gateway.runWithinRate(ctx, &first)
	for owner.tokens() == 0 { // the token is returned in the background
		time.Sleep(time.Millisecond)
	}
	is.Equal(f.sent.Load(), int32(0))
	is.Equal(r.gateway.runWithinRate(t.Context(), r).Status, http.StatusOK)
}
