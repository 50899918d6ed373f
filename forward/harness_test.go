package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/forward/pool"
	"pistachiomount.example/pistachiomount/grant"
)

const (
	aliceKey = "alice-key-0123456789"
	bobKey   = "bob-key-9876543210"
)

// harness fakes everything that the handler depends on and checks that all grants are
// returned.
type harness struct {
	mu          sync.Mutex
	view        View
	upstreams   []Upstream
	inUse       map[string]int // grants in use, by kind and name
	reject      map[string]bool
	rejectFirst map[string]int // how often each kind is rejected before it is granted
	reports     map[Result]int
	draining    int
	links       map[string]int
	linkGate    func(ctx context.Context) error
	queueGate   func(ctx context.Context) error
	hedge       time.Duration
	retries     int
	ended       []RequestSummary
	claims      map[string]*apipb.ClaimReply
	claimErr    error
	completed   []*apipb.CompleteRequest
	job         *apipb.Job
	enqueue     *apipb.EnqueueReply
	handler     *Handler
	server      *httptest.Server
}

func testDocument(aliceKeys ...string) *document.Document {
	routes := []document.Route{
		{Prefix: "/look", Methods: []string{"GET", "HEAD", "PUT"}, Idempotent: true, DeadlineMS: 20_000, MaxBodyBytes: 1 << 20},
		{Prefix: "/open", Methods: []string{"GET"}, Idempotent: true, Public: true, DeadlineMS: 20_000, MaxBodyBytes: 100},
		{Prefix: "/pay", Methods: []string{"POST"}, Public: true, DeadlineMS: 20_000, MaxBodyBytes: 100},
		{Prefix: "/book", Methods: []string{"POST"}, DeadlineMS: 20_000, MaxBodyBytes: 1000},
		{Prefix: "/short", Methods: []string{"GET"}, Idempotent: true, DeadlineMS: 400, MaxBodyBytes: 100},
		{Prefix: "/brief", Methods: []string{"POST"}, DeadlineMS: 200, MaxBodyBytes: 1000},
		{Prefix: "/later", Methods: []string{"POST"}, Mode: document.ModeDeferred, DeadlineMS: 20_000, MaxBodyBytes: 1000},
	}
	alice := document.Customer{Name: "alice", Services: []string{"svc"}}
	for i, key := range aliceKeys {
		alice.Keys = append(alice.Keys, document.Key{ID: fmt.Sprint("k", i), SHA256: fmt.Sprintf("%x", document.KeyDigest(key))})
	}
	bob := document.Customer{Name: "bob", Services: []string{"other"}, Keys: []document.Key{{ID: "b", SHA256: fmt.Sprintf("%x", document.KeyDigest(bobKey))}}}
	return &document.Document{Services: []document.Service{{Name: "svc", Routes: routes}}, Customers: []document.Customer{alice, bob}}
}

// newHarness starts an entry server in region near, with the given upstreams.
func newHarness(t testing.TB, upstreams ...*recorder) *harness {
	w := &harness{
		view:  View{Index: document.NewIndex(testDocument(aliceKey)), Revision: 1, Fresh: true, Region: "near"},
		inUse: map[string]int{}, reject: map[string]bool{}, reports: map[Result]int{}, links: map[string]int{},
		retries: 100, claims: map[string]*apipb.ClaimReply{}, enqueue: &apipb.EnqueueReply{JobId: "j1"},
	}
	for _, u := range upstreams {
		w.upstreams = append(w.upstreams, u.upstream)
	}
	connections := pool.NewSet(pool.Options{Permits: w})
	w.handler = New(Config{
		Views: w, Admitter: (*customers)(w), Regions: (*regions)(w), Links: w, Slots: (*slots)(w), Chooser: w, Queue: (*queue)(w),
		Claims: w, Jobs: w, Observer: w, Pool: connections, Limits: Limits{CompleteTimeout: time.Second, WriteTimeout: 20 * time.Second},
	})
	w.server = httptest.NewUnstartedServer(w.handler)
	w.server.Config.DisableGeneralOptionsHandler = true
	w.server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10) // a caller that does not read soon blocks the handler
		return ctx
	}
	w.server.Start()
	w.server.Client().Transport.(*http.Transport).DisableCompression = true
	t.Cleanup(func() {
		w.server.Close()
		connections.CloseIdle()
		eventually(t, "all grants, permits and picks returned", func() bool {
			for _, n := range w.inUse {
				if n != 0 {
					return false
				}
			}
			return len(w.handler.running.keys) == 0 && w.handler.requestMemory.Left() == w.handler.cfg.Limits.BodyMemory &&
				w.handler.responseMemory.Left() == w.handler.cfg.Limits.ResponseMemory
		}, &w.mu)
	})
	return w
}

// eventually waits for a condition; its limit only ends a test that would hang.
func eventually(t testing.TB, what string, cond func() bool, mu sync.Locker) {
	t.Helper()
	for range 3000 {
		mu.Lock()
		ok := cond()
		mu.Unlock()
		if ok {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Errorf("timed out waiting for: %s", what)
}

func (w *harness) adjust(kind, name string, n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n > 0 && (w.reject[kind] || w.reject[kind+name]) {
		return false
	}
	if n > 0 && w.rejectFirst[kind] > 0 {
		w.rejectFirst[kind]--
		return false
	}
	w.inUse[kind+name] += n
	return true
}

func (w *harness) View() View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view
}

// Await waits while the view is outdated. The fake ignores the time limit.
func (w *harness) Await(ctx context.Context, _ time.Time) View {
	for {
		if v := w.View(); !v.Outdated || ctx.Err() != nil {
			return v
		}
		time.Sleep(time.Millisecond)
	}
}

func (w *harness) setView(change func(*View)) {
	w.mu.Lock()
	change(&w.view)
	v := w.view
	w.mu.Unlock()
	w.handler.Revalidate(v)
}

type (
	customers harness
	regions   harness
	slots     harness
	queue     harness
)

func (c *customers) Admit(context.Context, string, time.Time) (time.Duration, bool) {
	return 1500 * time.Millisecond, !c.reject["rate"]
}

func (r *regions) TryTake(_, _ string) (grant.Reservation, bool) {
	reservation, err := (*harness)(r).Wait(context.Background(), "region", "", 1)
	if r.reject["region"] || err != nil {
		(*harness)(r).Refund("region", "", reservation, 1)
		return grant.Reservation{}, false
	}
	return reservation, true
}

func (r *regions) Refund(_, _ string, reservation grant.Reservation) {
	(*harness)(r).Refund("region", "", reservation, 1)
}
func (s *slots) TryAcquire(u string) bool     { return (*harness)(s).adjust("slot", u, 1) }
func (s *slots) Release(u string)             { (*harness)(s).adjust("slot", u, -1) }
func (w *harness) AcquireConn(u string) bool  { return w.adjust("conn", u, 1) }
func (w *harness) ReleaseConn(u string)       { w.adjust("conn", u, -1) }
func (q *queue) Release(service, user string) { (*harness)(q).adjust("turn", service+user, -1) }

func (q *queue) Acquire(ctx context.Context, service, user string) error {
	if q.queueGate != nil {
		if err := q.queueGate(ctx); err != nil {
			return err
		}
	}
	(*harness)(q).adjust("turn", service+user, 1)
	return nil
}

func (w *harness) Wait(ctx context.Context, from, to string, n int) (grant.Reservation, error) {
	if w.linkGate != nil && from != "region" {
		if err := w.linkGate(ctx); err != nil {
			return grant.Reservation{}, err
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.links[from+">"+to] += n
	return grant.Reservation{}, ctx.Err()
}

func (w *harness) Refund(from, to string, _ grant.Reservation, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.links[from+">"+to] -= n
}

func (w *harness) Regions(dst []string, _ Query) []string { return append(dst, "near", "far") }

func (w *harness) Pick(_ Query, region string, excluded []string) (Upstream, bool) {
	for _, u := range w.upstreams {
		if u.Region == region && !slices.Contains(excluded, u.Name) {
			w.adjust("pick", u.Name, 1)
			return u, true
		}
	}
	return Upstream{}, false
}

func (w *harness) Report(_ Query, u Upstream, r Report) {
	w.adjust("pick", u.Name, -1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reports[r.Result]++
	if r.Draining {
		w.draining++
	}
}

func (w *harness) HedgeDelay(Query) time.Duration { return w.hedge }

func (w *harness) TryRetry(string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retries--
	return w.retries >= 0
}

func (w *harness) RequestEnded(e RequestSummary) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = append(w.ended, e)
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (r reply) reason() string {
	_, rest, _ := strings.Cut(r.body, `"reason":"`)
	reason, _, _ := strings.Cut(rest, `"`)
	return reason + "/" + r.header.Get("X-Request-Run")
}

func (w *harness) do(method, path, body string, headers ...string) reply {
	req, err := http.NewRequest(method, w.server.URL+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Add(headers[i], headers[i+1])
	}
	resp, err := w.server.Client().Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	for name, values := range resp.Trailer {
		resp.Header["Trailer-"+name] = values
	}
	return reply{resp.StatusCode, resp.Header, string(got), err}
}

// doAsAlice sends a request with alice's key.
func (w *harness) doAsAlice(method, path, body string, headers ...string) reply {
	return w.do(method, path, body, append(headers, "X-Api-Key", aliceKey)...)
}

// sendRaw sends the headers of a request with alice's key, and the body, on its own
// connection.
func (w *harness) sendRaw(t *testing.T, request, headers, body string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", w.server.Listener.Addr().String())
	if err == nil {
		_, err = fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: x\r\nX-Api-Key: %s\r\n%s\r\n%s", request, aliceKey, headers, body)
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func (w *harness) Claim(_ context.Context, r *apipb.ClaimRequest) (*apipb.ClaimReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.claimErr != nil {
		return nil, w.claimErr
	}
	if reply := w.claims[r.IdempotencyKey]; reply != nil {
		return reply, nil
	}
	w.claims[r.IdempotencyKey] = &apipb.ClaimReply{Status: apipb.ClaimStatus_CLAIM_STATUS_RUNNING}
	return &apipb.ClaimReply{Status: apipb.ClaimStatus_CLAIM_STATUS_GRANTED}, nil
}

func (w *harness) Complete(_ context.Context, r *apipb.CompleteRequest) (*apipb.CompleteReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.completed = append(w.completed, r)
	if r.Outcome.NotRun {
		delete(w.claims, r.IdempotencyKey)
	} else {
		w.claims[r.IdempotencyKey] = &apipb.ClaimReply{Status: apipb.ClaimStatus_CLAIM_STATUS_DONE, Outcome: r.Outcome}
	}
	return &apipb.CompleteReply{Recorded: true}, nil
}

func (w *harness) Enqueue(_ context.Context, r *apipb.EnqueueRequest) (*apipb.EnqueueReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.Job.Id = w.enqueue.JobId
	w.job = r.Job
	return w.enqueue, nil
}

func (w *harness) Status(_ context.Context, r *apipb.JobStatusRequest) (*apipb.JobStatusReply, error) {
	return &apipb.JobStatusReply{Found: w.job != nil && r.JobId == w.job.Id, Job: w.job}, nil
}
