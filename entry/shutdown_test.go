package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/grant"
	"pistachiomount.example/pistachiomount/inventory"
	"pistachiomount.example/pistachiomount/lookup"
)

// memoryListener accepts in-memory connections, which work with the virtual time of
// synctest.
type memoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newMemoryListener() *memoryListener {
	return &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error   { close(l.closed); return nil }
func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

// get sends one request and returns its status, or 0 if the listener is closed.
func (l *memoryListener) get(path string) int {
	client, server := net.Pipe()
	defer client.Close()
	select {
	case l.conns <- server:
	case <-l.closed:
		return 0
	}
	go func() { _, _ = client.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: entry\r\n\r\n")) }()
	reply, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		return 0
	}
	defer reply.Body.Close()
	return reply.StatusCode
}

// recordingLeader answers renewals as the leader and records the VM state in each.
type recordingLeader struct {
	owner *grant.Owner

	mu     sync.Mutex
	states []apipb.VmState
	last   *apipb.RenewRequest
}

// recorded returns the VM state in each renewal so far, and the last one.
func (r *recordingLeader) recorded() ([]apipb.VmState, *apipb.RenewRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.states), r.last
}

func (r *recordingLeader) answer(_ context.Context, in *apipb.RenewRequest) (*apipb.RenewReply, error) {
	r.mu.Lock()
	r.states, r.last = append(r.states, in.Vm.State), in
	r.mu.Unlock()
	return r.owner.Renew(in, true), nil
}

func newRecordingLeader() *recordingLeader {
	r := &recordingLeader{owner: grant.NewOwner(grant.OwnerConfig{Term: 1, NoPredecessor: true}, processClock{})}
	r.owner.SetCaps(nil)
	return r
}

func applyDocument(t *testing.T, d *Daemon, raw []byte, revision uint64) {
	t.Helper()
	v, err := d.syncer.buildView(raw, d.syncer.load(), &apipb.WatchReply{Revision: revision})
	if err != nil {
		t.Fatal(err)
	}
	v.confirmed, v.confirmedAt = true, d.cfg.Clock.Now()
	d.syncer.current.Store(v)
	d.applyView(v)
	d.knowledge.recordConfirmation(v.confirmedAt)
}

// Guards against requests dropped by a planned stop: the VM first has its demand planned
// for others, then tells the fleet that it leaves, then serves callers with an old lookup answer and requests in progress,
// and only then returns its grants.
func TestPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		leader := newRecordingLeader()
		control := &fakeControl{renew: leader.answer}
		d := newTestDaemon(t, processClock{}, &fakeDialer{daemons: map[string]*fakeControl{"a": control}}, "a")
		applyDocument(t, d, exampleDocument(t, 1), 1)
		is.NoErr(d.lifecycle.Serve())
		release := make(chan struct{})
		mux := http.NewServeMux()
		mux.HandleFunc("/fast", func(http.ResponseWriter, *http.Request) {})
		mux.HandleFunc("/slow", func(http.ResponseWriter, *http.Request) { <-release })
		server := &http.Server{Handler: d.countInFlight(mux)}
		listener := newMemoryListener()
		go func() { _ = serve(server, listener) }()

		stopped := make(chan error, 1)
		began := time.Now()
		go func() { stopped <- d.shutDown(server) }()
		synctest.Wait()
		states, last := leader.recorded()
		is.Equal(states, []apipb.VmState{apipb.VmState_VM_STATE_SERVING}) // at once
		is.True(last.Retiring)
		time.Sleep(handoverTime)
		synctest.Wait()
		states, last = leader.recorded()
		is.Equal(states[1:], []apipb.VmState{apipb.VmState_VM_STATE_LEAVING})
		is.True(!last.HandingBack)
		slow := make(chan int, 1)
		// Another VM may name this one until its own next renewal.
		time.Sleep(grant.RenewInterval + renewTimeout + LookupTTL)
		is.Equal(listener.get("/fast"), 200)
		go func() { slow <- listener.get("/slow") }()
		time.Sleep(document.MaxDeadlineMS * time.Millisecond)
		is.Equal(listener.get("/fast"), 0)
		is.Equal(len(stopped), 0)
		states, _ = leader.recorded()
		is.Equal(len(states), 2)
		close(release)
		is.Equal(<-slow, 200)
		is.NoErr(<-stopped)
		is.True(time.Since(began) < stopTimeout)
		_, last = leader.recorded()
		is.True(last.HandingBack)
		is.Equal(d.lifecycle.State(), apipb.VmState_VM_STATE_STOPPED)
	})
}

// Guards against grants that stay with a stopped VM because the leader has changed.
func TestPlannedStopFindsTheNewLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		leader := newRecordingLeader()
		d := newTestDaemon(t, processClock{}, &fakeDialer{daemons: map[string]*fakeControl{
			"a": {renew: func(_ context.Context, in *apipb.RenewRequest) (*apipb.RenewReply, error) {
				return replyAsFollower("b")(in)
			}},
			"b": {renew: leader.answer},
		}}, "a")
		is.NoErr(d.lifecycle.Serve())
		is.NoErr(d.shutDown(&http.Server{}))
		_, last := leader.recorded()
		is.True(last.HandingBack)
	})
}

// Guards against lookups that name a starting VM: it holds no grants yet and would
// reject requests.
func TestStartingVMServesOnceItHoldsGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		leader := newRecordingLeader()
		d := newTestDaemon(t, processClock{}, &fakeDialer{daemons: map[string]*fakeControl{"a": {renew: leader.answer}}}, "a")
		is.NoErr(d.renewer.renew(t.Context()))
		is.NoErr(d.renewer.renew(t.Context()))
		is.Equal(d.lifecycle.State(), apipb.VmState_VM_STATE_STARTING) // no document yet
		applyDocument(t, d, exampleDocument(t, 1), 1)
		d.setUpstreams(inventory.List[inventory.Upstream]{Entries: []inventory.Upstream{
			{ID: "u", Service: "records", Region: "cali", FailureDomain: "cali-1"},
		}})
		is.NoErr(d.renewer.renew(t.Context()))
		is.Equal(d.lifecycle.State(), apipb.VmState_VM_STATE_STARTING) // no slots yet
		leader.owner.SetCaps([]grant.Cap{{
			Resource: grant.SlotsID("u"), Kind: apipb.ResourceKind_RESOURCE_KIND_UNITS, Units: 6,
		}})
		_, _ = d.queue.service("records").acquire()
		tries := 0
		for ; d.lifecycle.State() == apipb.VmState_VM_STATE_STARTING && tries < 4; tries++ {
			time.Sleep(time.Second)
			applyDocument(t, d, exampleDocument(t, 1), 1)
			is.NoErr(d.renewer.renew(t.Context()))
		}
		is.Equal(d.lifecycle.State(), apipb.VmState_VM_STATE_SERVING)
		is.True(!d.queue.empty()) // and not because the wait timed out
		states, _ := leader.recorded()
		for _, state := range states {
			is.Equal(state, apipb.VmState_VM_STATE_STARTING) // as reported to the leader until then
		}
	})
}

// Guards against lookup answers that name leaving or starting VMs, and against callers
// sent to another region than that of their client block.
func TestLookupAnswers(t *testing.T) {
	is := is.New(t)
	d := newTestDaemon(t, processClock{}, &fakeDialer{}, "a")
	ask := func(caller string) (int, []string) {
		r := httptest.NewRequest(http.MethodGet, "/v1/lookup?service=records", nil)
		r.RemoteAddr = caller
		w := httptest.NewRecorder()
		d.callerServer().Handler.ServeHTTP(w, r)
		var reply lookup.Response
		is.NoErr(json.NewDecoder(w.Body).Decode(&reply))
		var names []string
		for _, vm := range reply.EntryVMs {
			names = append(names, vm.Address)
		}
		return w.Code, names
	}
	status, _ := ask("10.30.1.1:999")
	is.Equal(status, http.StatusServiceUnavailable) // not "no such service": there is no document yet
	applyDocument(t, d, exampleDocument(t, 1), 1)
	status, _ = ask("10.30.1.1:999")
	is.Equal(status, http.StatusServiceUnavailable)
	vm := func(name, region string, state apipb.VmState) *apipb.Vm {
		return &apipb.Vm{Name: name, Address: name, Region: region, FailureDomain: region + "-1", State: state}
	}
	const serving, leaving, starting = apipb.VmState_VM_STATE_SERVING, apipb.VmState_VM_STATE_LEAVING, apipb.VmState_VM_STATE_STARTING
	d.lookups.setFleet(1, []*apipb.Vm{
		vm("vm", "bogota", serving), vm("cali", "cali", serving), vm("gone", "cali", leaving), vm("new", "bogota", starting),
	})
	_, names := ask("10.30.1.1:999")
	is.Equal(names, []string{"cali", "vm"})
	_, names = ask("10.10.1.1:999")
	is.Equal(names, []string{"vm", "cali"})
	_, names = ask("192.0.2.1:999") // in no block: as callers of this VM's region
	is.Equal(names, []string{"vm", "cali"})
	d.lookups.exclude("vm")
	_, names = ask("10.10.1.1:999")
	is.Equal(names, []string{"cali"})
	d.lookups.setFleet(2, []*apipb.Vm{vm("vm", "bogota", serving), vm("cali", "cali", serving)}) // an outdated list
	_, names = ask("10.10.1.1:999")
	is.Equal(names, []string{"cali"})
}
