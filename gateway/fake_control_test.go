package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/gateway/budget"
	"pistachiomount.example/pistachiomount/gateway/ingress"
	"pistachiomount.example/pistachiomount/gateway/placement"
	"pistachiomount.example/pistachiomount/plan"
	"pistachiomount.example/pistachiomount/transport"
)

// fakeControl is a control daemon that serves a plan to gateways. It is safe for concurrent use.
type fakeControl struct {
	apipb.DRPCControlUnimplementedServer

	mu       sync.Mutex
	revision uint64
	state    []byte
	// age is that of its confirmation.
	age time.Duration
	// fleet is the list of entry VMs, of the version fleetVersion.
	fleet        []*apipb.Vm
	fleetVersion uint64
	// held makes polls and renewals wait until it is closed; nil lets them pass.
	held chan struct{}
	// changed is closed with the next plan.
	changed chan struct{}
}

func (c *fakeControl) set(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// setPlan puts a plan in force, with evacuated failure domains.
func (c *fakeControl) setPlan(t *testing.T, p *plan.Plan, evacuated ...string) {
	t.Helper()
	encoded, err := plan.Encode(p)
	if err != nil {
		t.Fatal(err)
	}
	c.set(func() {
		c.revision, c.state = c.revision+1, plan.EncodeState(encoded, evacuated)
		if c.changed != nil {
			close(c.changed)
		}
		c.changed = make(chan struct{})
	})
}

// await waits until calls may pass.
func (c *fakeControl) await(ctx context.Context) error {
	c.mu.Lock()
	held := c.held
	c.mu.Unlock()
	if held == nil {
		return nil
	}
	select {
	case <-held:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *fakeControl) Watch(ctx context.Context, request *apipb.WatchRequest) (*apipb.WatchReply, error) {
	if err := c.await(ctx); err != nil {
		return nil, err
	}
	c.mu.Lock()
	changed, news := c.changed, request.HaveRevision != c.revision || request.ConfirmedWithinMs > 0
	c.mu.Unlock()
	if !news {
		select {
		case <-changed:
		case <-time.After(time.Duration(request.WaitMs) * time.Millisecond):
		case <-ctx.Done():
		}
		if err := c.await(ctx); err != nil {
			return nil, err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := &apipb.WatchReply{
		Kind: apipb.WatchKind_WATCH_KIND_UNCHANGED, Confirmed: true, ConfirmedAgeMs: uint32(c.age.Milliseconds()),
		Revision: c.revision, Digest: document.Digest(c.state),
	}
	if request.HaveRevision != c.revision {
		reply.Kind, reply.Sections = apipb.WatchKind_WATCH_KIND_DELTA, []*apipb.Section{{Data: c.state}}
	}
	return reply, nil
}

func (c *fakeControl) Renew(ctx context.Context, request *apipb.RenewRequest) (*apipb.RenewReply, error) {
	if err := c.await(ctx); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return &apipb.RenewReply{Term: 1, Sequence: request.Sequence, LeaseMs: 3000, FleetVersion: c.fleetVersion, Fleet: c.fleet}, nil
}

// setFleet replaces the list of entry VMs.
func (c *fakeControl) setFleet(names ...string) {
	c.set(func() {
		c.fleet, c.fleetVersion = nil, c.fleetVersion+1
		for _, name := range names {
			c.fleet = append(c.fleet, &apipb.Vm{Name: name, Address: name, Region: "r", FailureDomain: "d", State: apipb.VmState_VM_STATE_SERVING})
		}
	})
}

// testGateway is a gateway with one fake control daemon, on a clock that stands still: to advance it is a pause.
type testGateway struct {
	*Gateway
	t       *testing.T
	control *fakeControl
	clock   *clock.Manual
	next    int // number of the next request
}

// newTestGateway returns a gateway that serves by the plan.
func newTestGateway(t *testing.T, f *fakeUpstreams, p *plan.Plan) *testGateway {
	t.Helper()
	g := startTestGateway(t, f, p, func(*fakeControl) {})
	g.eventually(g.Ready)
	return g
}

// startTestGateway returns a gateway that starts. prepare is called with its control daemon before.
func startTestGateway(t *testing.T, f *fakeUpstreams, p *plan.Plan, prepare func(*fakeControl)) *testGateway {
	t.Helper()
	g := &testGateway{t: t, control: &fakeControl{}, clock: &clock.Manual{}}
	g.control.setPlan(t, p)
	prepare(g.control)
	log := logrus.New()
	log.SetOutput(io.Discard)
	security := &transport.Security{Insecure: true}
	var err error
	g.Gateway, err = New(Config{
		VM: "v", Region: "r", FailureDomain: "d", Listener: listenOn(t), RPCListener: listenOn(t),
		Controls: []string{serveControl(t, security, log, g.control)}, Security: security, Clock: g.clock, Log: log,
		Headers: HeaderNames{RequestID: "X-Id", Key: "X-Key"}, Upstream: testUpstreamNames,
		Retries: budget.Limits{Ratio: 0.2, Window: time.Second, Slack: 10}, MaxViewAge: 2 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var followed sync.WaitGroup
	followed.Go(func() { g.follower.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		followed.Wait()
		g.pool.Close()
	})
	g.applyList(f.list)
	return g
}

func listenOn(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func serveControl(t *testing.T, security *transport.Security, log logrus.FieldLogger, control apipb.DRPCControlServer) string {
	t.Helper()
	mux := drpcmux.New()
	if err := apipb.DRPCRegisterControl(mux, control); err != nil {
		t.Fatal(err)
	}
	listener := listenOn(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- transport.NewServer(security, map[transport.Role]drpc.Handler{transport.RoleControl: mux, transport.RoleEntry: mux}, log).Serve(ctx, listener)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return listener.Addr().String()
}

// awaitRevision waits until the gateway follows a revision.
func (g *testGateway) awaitRevision(revision uint64) {
	g.t.Helper()
	g.eventually(func() bool { return g.follower.View().Revision == revision })
}

func (g *testGateway) eventually(condition func() bool) {
	g.t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			g.t.Fatal("condition not reached")
		}
	}
}

// hold makes the calls to the control daemon wait until release is called.
func (g *testGateway) hold() (release func()) {
	held := make(chan struct{})
	g.control.set(func() { g.control.held = held })
	return func() {
		g.control.set(func() { g.control.held = nil })
		close(held)
	}
}

// newRequest returns a request with a key.
func (g *testGateway) newRequest(key string) *ingress.Request {
	g.next++
	return &ingress.Request{
		Method: http.MethodPost, Target: "/", Path: "/", Host: "h", Received: time.Now(),
		Header: http.Header{"X-Id": {fmt.Sprint(g.next)}, "X-Key": {key}},
	}
}

// waiting returns the number of requests that wait for a slot.
func (g *testGateway) waiting() (n int) {
	queue := g.service("s").permits
	queue.withTable(func(time.Time, *placement.Table) { n = queue.queue.Len() })
	return n
}
