package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/document"
)

// Guards against a rejection with not_run although an upstream received the request.
func TestRejectionsReachNoUpstream(t *testing.T) {
	up := newRecorder(t, "a", "near", nil)
	key := []string{"X-Api-Key", aliceKey}
	with := func(h ...string) []string { return append(h, key...) }
	for _, c := range []struct {
		name, method, path, body string
		headers                  []string
		set                      func(*harness)
		want                     string
	}{
		{"no key", "GET", "/look", "", nil, nil, "key_missing/not_run"},
		{"basic auth", "GET", "/look", "", []string{"Authorization", "Basic eA=="}, nil, "key_missing/not_run"},
		{"unknown key", "GET", "/look", "", []string{"X-Api-Key", "nobody"}, nil, "key_unknown/not_run"},
		{"two headers", "GET", "/look", "", with("Authorization", "Bearer "+aliceKey), nil, "key_ambiguous/not_run"},
		{"two values", "GET", "/look", "", with("X-Api-Key", "x"), nil, "key_ambiguous/not_run"},
		{"list of values", "GET", "/look", "", []string{"X-Api-Key", aliceKey + ",x"}, nil, "key_ambiguous/not_run"},
		{"two keys on public route", "GET", "/open", "", with("X-Api-Key", "x"), nil, "key_ambiguous/not_run"},
		{"key in query", "GET", "/look?api_key=" + aliceKey, "", key, nil, "bad_request/not_run"},
		{"encoded key name", "GET", "/look?a=1;Access%5Ftoken=x", "", key, nil, "bad_request/not_run"},
		{"key in path", "GET", "/look/" + aliceKey, "", key, nil, "bad_request/not_run"},
		{"key in body", "POST", "/book", "a " + aliceKey, key, nil, "bad_request/not_run"},
		{"service not allowed", "GET", "/look", "", []string{"X-Api-Key", bobKey}, nil, "not_allowed/not_run"},
		{"unknown route", "GET", "/nothing", "", key, nil, "route_unknown/not_run"},
		{"longer segment", "GET", "/lookout", "", key, nil, "route_unknown/not_run"},
		{"method", "DELETE", "/look", "", key, nil, "method_not_allowed/not_run"},
		{"trace", "TRACE", "/look", "", key, nil, "method_not_allowed/not_run"},
		{"upgrade", "GET", "/look", "", with("Connection", "upgrade", "Upgrade", "websocket"), nil, "bad_request/not_run"},
		{"large headers", "GET", "/look", "", with("X-Pad", strings.Repeat("x", 33<<10)), nil, "headers_too_large/not_run"},
		{"many headers", "GET", "/look", "", with(strings.Split(strings.Repeat("X-N,v,", 200)+"X-N,v", ",")...), nil, "headers_too_large/not_run"},
		{"large body", "POST", "/book", strings.Repeat("x", 1001), key, nil, "body_too_large/not_run"},
		{"deadline 0", "GET", "/look", "", with("X-Request-Deadline-Ms", "0"), nil, "bad_request/not_run"},
		{"deadline sign", "GET", "/look", "", with("X-Request-Deadline-Ms", "+5"), nil, "bad_request/not_run"},
		{"deadline overflow", "GET", "/look", "", with("X-Request-Deadline-Ms", "99999999999999999999"), nil, "bad_request/not_run"},
		{"deadline above maximum", "GET", "/look", "", with("X-Request-Deadline-Ms", "864000001"), nil, "bad_request/not_run"},
		{"deadline twice", "GET", "/look", "", with("X-Request-Deadline-Ms", "5", "X-Request-Deadline-Ms", "6"), nil, "bad_request/not_run"},
		{"long claim key", "POST", "/book", "", with("Idempotency-Key", strings.Repeat("x", 256)), nil, "bad_request/not_run"},
		{"public claim", "POST", "/pay", "", []string{"Idempotency-Key", "x"}, nil, "bad_request/not_run"},
		{"over rate", "GET", "/look", "", key, func(w *harness) { w.reject["rate"] = true }, "over_rate/not_run"},
		{"no region grant", "GET", "/look", "", key, func(w *harness) { w.reject["region"] = true }, "over_capacity/not_run"},
		{"no slot", "POST", "/book", "", key, func(w *harness) { w.reject["slot"] = true }, "over_capacity/not_run"},
		{"no connection", "POST", "/book", "", key, func(w *harness) { w.reject["conn"] = true }, "over_capacity/not_run"},
		{"no connection, idempotent", "GET", "/look", "", key, func(w *harness) { w.reject["conn"] = true }, "over_capacity/not_run"},
		{"stale view", "GET", "/look", "", key, func(w *harness) { w.view.Fresh = false }, "view_stale/not_run"},
		{"queue full", "GET", "/look", "", key, queueError(ErrQueueFull), "queue_full/not_run"},
		{"queue too long", "GET", "/look", "", key, queueError(ErrQueueTooLong), "deadline/not_run"},
		{"no claim", "POST", "/book", "", with("Idempotency-Key", "c"), func(w *harness) { w.claimErr = net.ErrClosed }, "over_capacity/not_run"},
		{"claims full", "POST", "/book", "", with("Idempotency-Key", "c"), claimStatus(apipb.ClaimStatus_CLAIM_STATUS_FULL), "over_capacity/not_run"},
		{"claim mismatch", "POST", "/book", "", with("Idempotency-Key", "c"), claimStatus(apipb.ClaimStatus_CLAIM_STATUS_MISMATCH), "idempotency_conflict/not_run"},
		{"claim running", "POST", "/book", "", with("Idempotency-Key", "c"), claimStatus(apipb.ClaimStatus_CLAIM_STATUS_RUNNING), "outcome_unknown/unknown"},
		{"jobs full", "POST", "/later", "", key, func(w *harness) { w.enqueue = &apipb.EnqueueReply{Full: true} }, "jobs_full/not_run"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(t, up)
			if c.set != nil {
				c.set(w)
			}
			got := w.do(c.method, c.path, c.body, c.headers...)
			is.NoErr(got.err)
			is.Equal(got.reason(), c.want)
			is.True(strings.Contains(got.body, `"run":"`+got.header.Get("X-Request-Run")))
			is.Equal(up.count(), 0)
			is.Equal(w.links["region>"], 0) // what was not used is refunded
			eventually(t, "counted once", func() bool {
				return len(w.ended) == 1 && string(w.ended[0].Reason)+"/"+string(w.ended[0].Run) == c.want
			}, &w.mu)
			is.True(!strings.Contains(got.body, aliceKey))
		})
	}
}

func queueError(err error) func(*harness) {
	return func(w *harness) { w.queueGate = func(context.Context) error { return err } }
}

func claimStatus(s apipb.ClaimStatus) func(*harness) {
	return func(w *harness) { w.claims["c"] = &apipb.ClaimReply{Status: s} }
}

// Guards against request lines and lengths that a proxy and an upstream could interpret
// differently.
func TestRawRequests(t *testing.T) {
	up := newRecorder(t, "a", "near", nil)
	w := newHarness(t, up)
	auth := "Host: x\r\nX-Api-Key: " + aliceKey + "\r\n"
	for _, c := range []struct {
		raw    string
		status int
		seen   int
	}{
		{"GET http://evil/look HTTP/1.1\r\n" + auth + "\r\n", 400, 0},
		{"GET /open/../look HTTP/1.1\r\n" + auth + "\r\n", 400, 0},
		{"GET /look/%2e%2e/book HTTP/1.1\r\n" + auth + "\r\n", 400, 0},
		{"GET /look//x HTTP/1.1\r\n" + auth + "\r\n", 400, 0},
		{"GET /open;/look HTTP/1.1\r\n" + auth + "\r\n", 400, 0},
		{"GET /look%5cx HTTP/1.1\r\n" + auth + "\r\n", 400, 0},
		{"CONNECT x:80 HTTP/1.1\r\n" + auth + "\r\n", 405, 0},
		{"OPTIONS * HTTP/1.1\r\n" + auth + "\r\n", 400, 0},
		{"POST /book HTTP/1.1\r\n" + auth + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400, 0},
		{"POST /book HTTP/1.1\r\n" + auth + "Content-Length: 9\r\n\r\nabc", 400, 0},
		{"POST /book HTTP/1.1\r\n" + auth + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400, 0},
		{"POST /book HTTP/1.1\r\n" + auth + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n3\r\nabc\r\n0\r\nX-T: " + aliceKey + "\r\n\r\n", 200, 1},
		{"POST /book HTTP/1.1\r\n" + auth + "Content-Length: 60\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 200, 1},
	} {
		t.Run(strings.SplitN(c.raw, "\r\n", 2)[0], func(t *testing.T) {
			is := is.New(t)
			before := up.count()
			conn, err := net.Dial("tcp", w.server.Listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, c.raw)
			is.NoErr(err)
			if c.status == 400 { // ends the body early; a full close would be a disconnect
				is.NoErr(conn.(*net.TCPConn).CloseWrite())
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.status)
			is.Equal(up.count()-before, c.seen)
			if c.seen > 0 {
				last := up.seen[len(up.seen)-1]
				is.True(strings.HasSuffix(last, "\r\n\r\nabc"))
				is.Equal(strings.Count(last, "Content-Length: 3"), 1)
				is.True(!strings.Contains(last, "Transfer-Encoding") && !strings.Contains(last, aliceKey))
			}
		})
	}
}

// Guards against keys, identity headers and hop-by-hop headers of a caller that reach an
// upstream.
func TestKeyAndIdentityAreStripped(t *testing.T) {
	is := is.New(t)
	up := newRecorder(t, "a", "near", func(w http.ResponseWriter, _ *http.Request) {
		for _, h := range []string{"X-Request-Run", "Idempotency-Replayed", "X-Draining", "X-Hop"} {
			w.Header().Set(h, "true")
		}
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Fine", "yes")
	})
	w := newHarness(t, up)
	encoded := strings.ReplaceAll(aliceKey, "a", "%61")
	for _, route := range []string{"/look", "/open"} {
		got := w.do("GET", route+"?q=1&copy="+aliceKey+"&e="+encoded+"&ee="+strings.ReplaceAll(encoded, "%", "%25")+"&r=2", "",
			"Authorization", "Bearer "+aliceKey, "X-Copy", "a "+aliceKey, "Cookie", "x=100%; k="+encoded, aliceKey+"-Name", "v",
			"X-Customer", "evil", "X_customer", "evil", "Traceparent", "evil", "Tracestate", "evil", "X-Request-Id", "evil",
			"X-Request-Deadline-Ms", "7000", "Forwarded", "for=evil", "X-Forwarded-For", "evil", "X-Forwarded-Any", "evil", "X-Real-Ip", "evil",
			"Connection", "X-Customer, X-Named", "X-Named", "evil", "Te", "evil", "Proxy-Authorization", "evil", "X-Keep", "kept")
		is.Equal(got.status, 200)
		for _, h := range []string{"X-Request-Run", "Idempotency-Replayed", "X-Draining", "X-Hop"} {
			is.Equal(got.header.Get(h), "") // an upstream cannot set headers that the proxy sets
		}
		is.Equal(got.header.Get("X-Fine"), "yes")
		seen := strings.ToLower(up.seen[len(up.seen)-1])
		for _, secret := range []string{aliceKey, "alice-key", "evil", encoded, "%2561"} {
			is.True(!strings.Contains(seen, secret))
		}
		customer := map[string]string{"/look": "alice", "/open": "public"}[route]
		is.True(strings.Contains(seen, "x-customer: "+customer+"\r\n"))
		is.True(strings.Contains(seen, "get "+route+"?q=1&r=2 http") && strings.Contains(seen, "x-keep: kept"))
		is.True(strings.Contains(seen, "x-request-id: "+got.header.Get("X-Request-Id")))
		is.True(strings.Contains(seen, "x-request-deadline-ms: 69") || strings.Contains(seen, "x-request-deadline-ms: 6")) // of 7000
	}
	is.Equal(w.draining, 2)
	is.True(!strings.Contains(fmt.Sprint(w.ended), aliceKey))
}

// Guards against a rejection although capacity is about to arrive: a share that moves to
// this VM arrives with the next renewal.
func TestFirstAttemptWaitsForCapacity(t *testing.T) {
	for _, path := range []string{"/look", "/book"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			up := newRecorder(t, "a", "near", nil)
			w := newHarness(t, up)
			w.rejectFirst = map[string]int{"slot": 3}
			method := "GET"
			if path == "/book" {
				method = "POST"
			}
			got := w.do(method, path, "", "X-Api-Key", aliceKey)
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			is.Equal(up.count(), 1)
		})
	}
}

// Guards against reporting an unknown route because this VM has not fetched a document
// yet.
func TestRejectsBeforeFirstDocument(t *testing.T) {
	is := is.New(t)
	w := newHarness(t)
	w.view = View{Index: document.NewIndex(&document.Document{}), Region: "near"}
	got := w.doAsAlice("GET", "/look", "")
	is.Equal(got.status, 503)
	is.True(strings.Contains(got.body, "view_stale"))
	is.True(strings.Contains(got.body, "not_run"))
}
