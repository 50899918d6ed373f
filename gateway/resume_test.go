package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/gateway/ingress"
	"pistachiomount.example/pistachiomount/inventory"
	"pistachiomount.example/pistachiomount/plan"
)

const movedKey = "key"

// longPause is a pause after which nothing that was known is recent.
const longPause = 7 * time.Second

// newTestPlan returns a plan in which the key belongs to the customer.
func newTestPlan(number uint64, holder string, change func(*plan.Plan)) *plan.Plan {
	p := &plan.Plan{
		Number: number, Services: []plan.Service{{Name: "s"}}, KeysRequired: true,
		Routes: []plan.Route{testRoute(func(r *plan.Route) { r.Timeout, r.Target = 10*time.Second, 8*time.Second })},
		Customers: []plan.Customer{
			{Name: holder, KeyDigests: []string{plan.DigestKey(movedKey)}},
			{Name: "other", KeyDigests: []string{plan.DigestKey("other-key")}},
		},
	}
	if change != nil {
		change(p)
	}
	return p
}

// recordedUpstreams are upstreams that record for whom requests ran, and run those of customer "other" until freed.
type recordedUpstreams struct {
	*fakeUpstreams
	free chan struct{}

	mu   sync.Mutex
	runs map[string]string // customer by request id
	at   map[string]string // upstream by request id
}

func newRecordedUpstreams(t *testing.T, n int) *recordedUpstreams {
	u := &recordedUpstreams{free: make(chan struct{}), runs: map[string]string{}, at: map[string]string{}}
	u.fakeUpstreams = newFakeUpstreams(t, n, func(_ int, w http.ResponseWriter, r *http.Request) {
		id, customer := r.Header.Get("X-Id"), r.Header.Get("X-Customer")
		u.mu.Lock()
		u.runs[id], u.at[id] = customer, r.Header.Get("X-Expected")
		u.mu.Unlock()
		if customer == "other" {
			<-u.free
		}
		w.Header().Set("X-Id", id)
	})
	return u
}

// ranFor returns the customer for whom a request ran, and whether it ran.
func (u *recordedUpstreams) ranFor(id string) (string, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	customer, ran := u.runs[id]
	return customer, ran
}

// fill sends requests of customer "other" until one waits for a slot. They end when free is called.
func (g *testGateway) fill(u *recordedUpstreams) (free func()) {
	var filled sync.WaitGroup
	g.t.Cleanup(filled.Wait)
	for sent := int32(1); g.waiting() == 0; sent++ {
		request := g.newRequest("other-key")
		filled.Go(func() { g.Serve(g.t.Context(), request) })
		g.eventually(func() bool { return u.sent.Load() == sent || g.waiting() > 0 })
	}
	return func() { close(u.free) }
}

// Guards against a request that waits for a slot during a pause, and then runs for the customer who had its key before, or
// without the rate that its customer has now; and against refusing it although there is time to route it anew.
func TestWaitingRequestIsRoutedAnewAfterAPause(t *testing.T) {
	for _, c := range []struct {
		name     string
		next     *plan.Plan
		customer string // for whom it runs; empty if it must not run
	}{
		{"nothing changed", newTestPlan(2, "former", nil), "former"},
		{"key moved", newTestPlan(2, "new", nil), "new"},
		{"key taken away", newTestPlan(2, "former", func(p *plan.Plan) { p.Customers[0].KeyDigests = nil }), ""},
		{"rate given", newTestPlan(2, "former", func(p *plan.Plan) { p.Customers[0].Rate = 1 }), ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := newRecordedUpstreams(t, 1)
			g := newTestGateway(t, u.fakeUpstreams, newTestPlan(1, "former", nil))
			free := g.fill(u)
			request, answered := g.newRequest(movedKey), make(chan *ingress.Response, 1)
			go func() { answered <- g.Serve(t.Context(), request) }()
			g.eventually(func() bool { return g.waiting() == 2 })
			release := g.hold()
			g.clock.Advance(longPause)
			g.control.setPlan(t, c.next)
			free()
			time.Sleep(50 * time.Millisecond) // the request has a slot, and awaits what the VM missed
			_, ran := u.ranFor(request.Header.Get("X-Id"))
			is.True(!ran)
			release()
			response := <-answered
			customer, ran := u.ranFor(request.Header.Get("X-Id"))
			is.Equal(customer, c.customer)
			is.Equal(ran, c.customer != "")
			is.Equal(response.Status == http.StatusOK, ran)
		})
	}
}

// knowledgeOfRuns returns the given runs one after the other, and then the last one.
type knowledgeOfRuns struct{ runs []uint64 }

func (k *knowledgeOfRuns) Current() (run uint64, ok bool) {
	run = k.runs[0]
	if len(k.runs) > 1 {
		k.runs = k.runs[1:]
	}
	return run, true
}

func (k *knowledgeOfRuns) Await(context.Context, time.Time) (run uint64, ok bool) {
	return k.runs[len(k.runs)-1], true
}

func (k *knowledgeOfRuns) AwaitLists(context.Context) {}

// Guards against a request that is sent after a pause by what was checked before, since the pause came while its
// connection was opened; and against refusing it though it is still allowed.
func TestRequestIsWithheldIfThePauseCameWhileItsConnectionWasOpened(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		is := is.New(t)
		f := newFakeUpstreams(t, 2, func(int, http.ResponseWriter, *http.Request) {})
		r := newTestRequest(t, f, false)
		manual := &clock.Manual{}
		r.permission = permission{
			clock: manual, checkedAt: manual.Now(), knowledge: &knowledgeOfRuns{runs: []uint64{0, 1}},
			stillAllowed: func() bool { return allowed },
		}
		response := r.run(t.Context())
		if allowed {
			is.Equal(response.Status, http.StatusOK)
			is.Equal(f.sent.Load(), int32(1))
			continue
		}
		is.Equal(response.Status, http.StatusServiceUnavailable)
		is.Equal(f.sent.Load(), int32(0))
	}
}

// Guards against requests that are refused after a pause for want of a slot, as if they had waited for one during the time
// in which the VM learned what it had missed.
func TestRequestsQueueForSlotsAfterAPause(t *testing.T) {
	is := is.New(t)
	u := newRecordedUpstreams(t, 1)
	quick := func(p *plan.Plan) { p.Routes[0].Target = 800 * time.Millisecond } // of which an eighth is for the wait
	g := newTestGateway(t, u.fakeUpstreams, newTestPlan(1, "former", quick))
	release := g.hold()
	g.clock.Advance(longPause)
	const requests = 60
	statuses := make(chan int, requests)
	for range requests {
		request := g.newRequest(movedKey)
		go func() { statuses <- g.Serve(t.Context(), request).Status }()
	}
	time.Sleep(150 * time.Millisecond)
	release()
	for range requests {
		is.Equal(<-statuses, http.StatusOK)
	}
}

// Guards against a request that waits for a slot during a pause and then runs outside of the regions to which its route or
// its customer has been bound, in a failure domain that has been evacuated, or at an upstream that has left.
func TestWaitingRequestIsPlacedAnewAfterAPause(t *testing.T) {
	far := func(list []string) func(*plan.Plan) { return func(p *plan.Plan) { p.Routes[0].Regions = list } }
	for _, c := range []struct {
		name      string
		change    func(*plan.Plan)
		evacuated []string
		left      bool
		upstream  string // where it runs
	}{
		{name: "route bound", change: far([]string{"far"}), upstream: "u1"},
		{name: "customer bound", change: func(p *plan.Plan) { p.Customers[0].Regions = []string{"far"} }, upstream: "u1"},
		{name: "evacuated", evacuated: []string{"d"}, upstream: "u1"},
		{name: "left", left: true, upstream: "u1"},
		{name: "nothing changed", upstream: "u0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := newRecordedUpstreams(t, 2)
			u.list[1].Region, u.list[1].FailureDomain = "far", "far-d"
			near := func(p *plan.Plan) { p.Routes[0].Regions = []string{"r"} }
			both := func(p *plan.Plan) { p.Routes[0].Regions = []string{"r", "far"} }
			first, later := near, u.list
			if c.evacuated != nil || c.left {
				first, later = both, slices.Clone(u.list)
				u.list[1].State = inventory.Leaving // for now
			}
			if c.left {
				later = later[1:]
			}
			g := newTestGateway(t, u.fakeUpstreams, newTestPlan(1, "former", first))
			free := g.fill(u)
			request, answered := g.newRequest(movedKey), make(chan *ingress.Response, 1)
			waiting := g.waiting()
			go func() { answered <- g.Serve(t.Context(), request) }()
			g.eventually(func() bool { return g.waiting() == waiting+1 })
			release := g.hold()
			g.clock.Advance(longPause)
			if c.change == nil {
				c.change = first
			}
			g.control.setPlan(t, newTestPlan(2, "former", c.change), c.evacuated...)
			free()
			time.Sleep(50 * time.Millisecond) // the request has a slot
			g.applyList(later)
			release()
			is.Equal((<-answered).Status, http.StatusOK)
			u.mu.Lock()
			defer u.mu.Unlock()
			is.Equal(u.at[request.Header.Get("X-Id")], c.upstream)
		})
	}
}

// Guards against a directory that names VMs after a pause which were lost meanwhile; and against one that does not answer
// because the leader cannot be reached.
func TestDirectoryNamesNoLostVMsAfterAPause(t *testing.T) {
	is := is.New(t)
	u := newRecordedUpstreams(t, 1)
	g := startTestGateway(t, u.fakeUpstreams, newTestPlan(1, "former", nil), func(c *fakeControl) { c.setFleet("v", "lost") })
	lookUp := func() []string {
		addresses := g.Directory(t.Context(), "r", "d")
		slices.Sort(addresses)
		return addresses
	}
	g.eventually(func() bool { return g.Ready() && len(lookUp()) == 2 })
	release := g.hold()
	g.control.setFleet("v", "new")
	g.clock.Advance(longPause)
	answered := make(chan []string)
	go func() { answered <- lookUp() }()
	select {
	case addresses := <-answered:
		t.Fatalf("named %v before the list was renewed", addresses)
	case <-time.After(50 * time.Millisecond):
	}
	release()
	addresses := <-answered
	is.True(slices.Contains(addresses, "new"))
	is.True(!slices.Contains(addresses, "lost"))
	g.eventually(func() bool { return slices.Equal(lookUp(), []string{"new", "v"}) })

	release = g.hold()
	defer release()
	g.clock.Advance(longPause)
	is.Equal(lookUp(), []string{"new"}) // not itself: it may not act on its plan
}
