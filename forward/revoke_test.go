package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/document"
)

func revoke(v *View) {
	v.Index, v.Revision = document.NewIndex(testDocument("another-key-of-alice")), v.Revision+1
}

func expire(v *View) { v.Fresh, v.StaleFor = false, time.Hour }

// streamUntilGone sends chunks until its caller disconnects.
func streamUntilGone(w http.ResponseWriter, r *http.Request) {
	for r.Context().Err() == nil {
		_, _ = io.WriteString(w, strings.Repeat("z", 64<<10))
	}
}

// Guards against forwarding a request whose key was revoked, or can no longer be checked,
// while it waited or between two attempts.
func TestRevokedBeforeSending(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*View)
		want   string
	}{{"revoked", revoke, "key_unknown/"}, {"stale", expire, "view_stale/"}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			up := newRecorder(t, "a", "near", nil)
			w := newHarness(t, up)
			w.queueGate = func(ctx context.Context) error {
				go w.setView(c.change) // while the request waits
				<-ctx.Done()
				return ctx.Err()
			}
			is.Equal(w.doAsAlice("POST", "/book", "").reason(), c.want+"not_run")
			is.Equal(up.count(), 0)

			var second *harness
			bad := newRecorder(t, "bad", "near", func(rw http.ResponseWriter, _ *http.Request) {
				second.mu.Lock()
				c.change(&second.view) // without Revalidate, so the next attempt must check the view itself
				second.mu.Unlock()
				rw.WriteHeader(http.StatusServiceUnavailable)
			})
			second = newHarness(t, bad, up)
			is.Equal(second.doAsAlice("GET", "/look", "").reason(), c.want+"unknown")
			is.Equal(up.count(), 0)
		})
	}
}

// Guards against a long response that continues after its key was revoked, after the view
// became stale or for a caller that does not read, and against such a caller blocking
// others.
func TestRevocationStopsLongResponses(t *testing.T) {
	for name, change := range map[string]func(*View){"revoked": revoke, "stale": expire} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(t, newRecorder(t, "slow", "near", neverRespond), newRecorder(t, "a", "far", streamUntilGone))
			w.hedge = time.Millisecond // the attempt without response loses and must not continue beside the other one
			conn := w.sendRaw(t, "GET /look", "", "")
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			_, err = io.ReadFull(resp.Body, make([]byte, 64<<10))
			is.NoErr(err)
			// The caller reads nothing from here on, so the write to it blocks.
			charged, same := -1, 0
			eventually(t, "the handler stops reading", func() bool {
				if same++; charged != w.links["far>near"] {
					charged, same = w.links["far>near"], 0
				}
				return same > 10 && w.reports[ResultCancelled] == 1
			}, &w.mu)
			w.setView(func(v *View) { v.Revision++ }) // an unrelated change cancels nothing
			is.Equal(len(w.ended), 0)
			w.setView(change)
			eventually(t, "the request ended", func() bool { return len(w.ended) == 1 && w.ended[0].Aborted }, &w.mu)
			_, err = io.Copy(io.Discard, resp.Body)
			is.True(err != nil)
		})
	}
}

// Guards against slots held for a caller that does not read a complete response, and
// against ending responses when the view is stale for less than the limit.
func TestSlowReaderHoldsNoSlot(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, newRecorder(t, "a", "near", func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(rw, strings.Repeat("z", 1<<20))
	}))
	for range 20 { // 20 MiB that nobody reads
		conn := w.sendRaw(t, "GET /look", "", "")
		is.NoErr(conn.(*net.TCPConn).SetReadBuffer(4096))
	}
	eventually(t, "all slots and permits are free", func() bool {
		return w.reports[ResultCompleted] == 20 && w.inUse["slota"] == 0 && w.inUse["turnsvcalice"] == 0
	}, &w.mu)
	w.setView(func(v *View) { v.Fresh, v.StaleFor = false, time.Second })
	w.setView(func(v *View) { v.Fresh = true })
	is.Equal(len(w.doAsAlice("GET", "/look", "").body), 1<<20)
}

// Guards against a slow sender that holds more than its own connection.
func TestSlowSenderHoldsNoSlot(t *testing.T) {
	is := is.New(t)
	up := newRecorder(t, "a", "near", nil)
	w := newHarness(t, up)
	conn := w.sendRaw(t, "POST /brief", "Content-Length: 1000\r\n", "abc")
	is.Equal(w.doAsAlice("POST", "/book", "x").body, "a") // meanwhile
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(resp.Header.Get("X-Request-Run"), "not_run")
	is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
	is.Equal(up.count(), 1)
}

// Guards against request bodies that together take more memory than allowed.
func TestBodyMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, newRecorder(t, "a", "near", nil))
	w.handler.requestMemory.Reserve(int(w.handler.cfg.Limits.BodyMemory) - 10)
	is.Equal(w.doAsAlice("POST", "/book", "12345678901").reason(), "over_capacity/not_run")
	is.Equal(w.doAsAlice("POST", "/book", "1234567890").status, 200)
	w.handler.requestMemory.Release(int(w.handler.cfg.Limits.BodyMemory) - 10)
}

// Guards against buffered responses that together take more memory than allowed, and against responses that
// are cut because there is no memory to buffer them.
func TestResponseMemoryIsBounded(t *testing.T) {
	const buffered = 3
	is := is.New(t)
	w := newHarness(t, newRecorder(t, "a", "near", func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(rw, strings.Repeat("z", maxBufferedResponse-1))
	}))
	taken := int(w.handler.cfg.Limits.ResponseMemory) - buffered*maxBufferedResponse
	is.True(w.handler.responseMemory.Reserve(taken))
	defer w.handler.responseMemory.Release(taken)
	for range 8 { // that nobody reads
		conn := w.sendRaw(t, "GET /look", "", "")
		is.NoErr(conn.(*net.TCPConn).SetReadBuffer(4096))
	}
	eventually(t, "all requests are sent", func() bool { return w.reports[ResultCompleted]+w.inUse["slota"] == 8 }, &w.mu)
	is.Equal(len(w.doAsAlice("GET", "/look", "").body), maxBufferedResponse-1)
	w.mu.Lock()
	defer w.mu.Unlock()
	is.True(w.reports[ResultCompleted] <= buffered+1) // the others hold their slots until their callers read
}

// Guards against jobs that other customers can read, that lose their request, or that
// contain the key.
func TestDeferredJobs(t *testing.T) {
	is := is.New(t)
	up := newRecorder(t, "a", "near", nil)
	w := newHarness(t, up)
	got := w.doAsAlice("POST", "/later/x?a=1&k="+aliceKey, "work", "X-Note", "n")
	is.Equal(got.status, http.StatusAccepted)
	is.Equal(got.body, `{"job_id":"j1"}`)
	is.Equal(got.header.Get("Location"), "/v1/jobs/j1")
	is.Equal(up.count(), 0)
	is.True(!strings.Contains(w.job.String(), aliceKey))
	is.Equal(w.do("GET", "/v1/jobs/j1", "").reason(), "key_missing/not_run")
	is.Equal(w.do("GET", "/v1/jobs/j1", "", "X-Api-Key", bobKey).reason(), "route_unknown/not_run")
	is.Equal(w.doAsAlice("GET", "/v1/jobs/j2", "").reason(), "route_unknown/not_run")

	outcome, err := w.handler.RunJob(context.Background(), w.job)
	is.NoErr(err)
	is.Equal(string(outcome.Body), "a")
	is.True(strings.HasPrefix(up.seen[0], "POST /later/x?a=1 HTTP/1.1\r\n") && strings.HasSuffix(up.seen[0], "\r\n\r\nwork"))
	is.True(strings.Contains(up.seen[0], "X-Customer: alice\r\n") && strings.Contains(up.seen[0], "X-Note: n\r\n"))
	w.job.State, w.job.Outcome = apipb.JobState_JOB_STATE_DONE, outcome
	is.True(strings.Contains(w.doAsAlice("GET", "/v1/jobs/j1", "").body, `"state":"done","outcome":{"status_code":200`))
}

// Guards against a job that runs twice, or that is reported as not run after it ran.
func TestJobFailures(t *testing.T) {
	is := is.New(t)
	bad := newRecorder(t, "bad", "near", sendAndClose(""))
	w := newHarness(t, bad, newRecorder(t, "b", "near", nil))
	job := &apipb.Job{Customer: "alice", Service: "svc", Method: "POST", Path: "/later", Idempotent: true}
	_, err := w.handler.RunJob(context.Background(), job) // the route is no longer idempotent
	is.Equal(err.Error(), "outcome_unknown (unknown): the upstream gave no whole answer")
	is.Equal(bad.count(), 1)
	w.reject["slot"] = true
	_, err = w.handler.RunJob(context.Background(), job)
	is.True(strings.HasPrefix(err.Error(), "over_capacity (not_run)"))
	job.Customer = "removed"
	_, err = w.handler.RunJob(context.Background(), job)
	is.True(strings.HasPrefix(err.Error(), "not_allowed (not_run)"))
}

// Guards against routes that are open to all callers once the last customer was removed.
func TestRemovalOfTheLastCustomerLeavesRoutesClosed(t *testing.T) {
	is := is.New(t)
	up := newRecorder(t, "a", "near", nil)
	w := newHarness(t, up)
	is.Equal(w.doAsAlice("GET", "/look", "").status, http.StatusOK)
	w.setView(func(v *View) {
		without := testDocument(aliceKey)
		without.Customers = nil
		v.Index = document.NewIndex(without)
		v.Revision++
	})
	is.Equal(w.doAsAlice("GET", "/look", "").status, http.StatusUnauthorized)
	is.Equal(up.count(), 1)
}
