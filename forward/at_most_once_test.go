package forward

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/apipb"
)

// sendAndClose reads the request, sends the given bytes and closes the connection.
func sendAndClose(answer string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := w.(http.Hijacker).Hijack()
		_, _ = io.WriteString(conn, answer)
		_ = conn.Close()
	}
}

func neverRespond(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// Guards against a second run of a request that must not be repeated, and against not_run
// after an upstream has read the request. The standard transport retries requests that
// have an Idempotency-Key or no body on reused connections.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		name  string
		serve http.HandlerFunc
		path  string
		want  string
	}{
		{"closes connection", sendAndClose(""), "/book", "outcome_unknown/unknown"},
		{"truncated headers", sendAndClose("HTTP/1.1 200 OK\r\nContent-Le"), "/book", "outcome_unknown/unknown"},
		{"truncated body", sendAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"), "/book", "outcome_unknown/unknown"},
		{"truncated chunks", sendAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"), "/book", "outcome_unknown/unknown"},
		{"undelimited body", sendAndClose("HTTP/1.1 200 OK\r\n\r\nabc"), "/book", "outcome_unknown/unknown"},
		{"large headers", sendAndClose("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 70<<10) + "\r\n\r\n"), "/book", "outcome_unknown/unknown"},
		{"switches protocols", sendAndClose("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"), "/book", "outcome_unknown/unknown"},
		{"no response", neverRespond, "/brief", "deadline/unknown"},
	} {
		for _, claim := range []string{"", "claim"} {
			t.Run(c.name+claim, func(t *testing.T) {
				is := is.New(t)
				first := true
				up := newRecorder(t, "a", "near", func(w http.ResponseWriter, r *http.Request) {
					if !first {
						c.serve(w, r)
					}
					first = false
				})
				w := newHarness(t, up, newRecorder(t, "b", "near", nil))
				is.Equal(w.doAsAlice("POST", "/book", "").status, 200) // leaves an idle connection that could be reused
				if claim == "" {
					is.Equal(w.doAsAlice("POST", c.path, "").reason(), c.want)
					is.Equal(up.count(), 2)
					return
				}
				is.Equal(w.doAsAlice("POST", c.path, "", "Idempotency-Key", claim).reason(), c.want)
				is.Equal(w.doAsAlice("POST", c.path, "", "Idempotency-Key", claim).reason(), "outcome_unknown/unknown")
				is.Equal(up.count(), 2)
				is.Equal(len(w.completed), 0) // the outcome is unknown, so nothing is recorded
			})
		}
	}
}

// Guards against an unknown outcome where nothing can have been sent, and against a claim
// that remains after such a request.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	dead := &recorder{upstream: Upstream{Name: "dead", Address: l.Addr().String(), Region: "near"}}
	is.NoErr(l.Close())
	spare := newRecorder(t, "spare", "near", nil)
	w := newHarness(t, dead, spare)
	is.Equal(w.doAsAlice("POST", "/book", "x").reason(), "upstream_failed/not_run")
	is.Equal(w.doAsAlice("POST", "/book", "x", "Idempotency-Key", "c").reason(), "upstream_failed/not_run")
	is.Equal(spare.count(), 0)
	eventually(t, "claim released", func() bool { return len(w.completed) == 1 && w.completed[0].Outcome.NotRun }, &w.mu)
	w.upstreams = w.upstreams[1:]
	is.Equal(w.doAsAlice("POST", "/book", "x", "Idempotency-Key", "c").body, "spare") // may run now
}

// Guards against a duplicate that runs again or gets a different response.
func TestClaimReplaysFirstOutcome(t *testing.T) {
	is := is.New(t)
	up := newRecorder(t, "a", "near", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Number", "7")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "booked")
	})
	w := newHarness(t, up)
	first := w.doAsAlice("POST", "/book", "x", "Idempotency-Key", "c")
	eventually(t, "outcome recorded", func() bool { return len(w.completed) == 1 }, &w.mu)
	again := w.doAsAlice("POST", "/book", "x", "Idempotency-Key", "c")
	is.Equal(first.status, 201)
	is.Equal(first.header.Get("Idempotency-Replayed"), "")
	is.Equal(again.header.Get("Idempotency-Replayed"), "true")
	is.Equal(again.status, 201)
	is.Equal(again.body+again.header.Get("X-Number"), "booked7")
	is.Equal(up.count(), 1)
	w.claims["d"] = &apipb.ClaimReply{Status: apipb.ClaimStatus_CLAIM_STATUS_DONE, Outcome: &apipb.Outcome{StatusCode: 200, BodyOmitted: true}}
	is.Equal(w.doAsAlice("POST", "/book", "x", "Idempotency-Key", "d").reason(), "outcome_unknown/unknown")
}

// Guards against a digest that covers the body only, so that different requests look the
// same.
func TestClaimDigestCoversTarget(t *testing.T) {
	is := is.New(t)
	digest := func(method, target, body string) string {
		x := exchange{method: method, body: []byte(body)}
		x.target, _ = parseTarget(target)
		return string(x.digest())
	}
	is.Equal(digest("POST", "/book?a=1", "b"), digest("POST", "/book?a=1", "b"))
	is.True(digest("POST", "/book/x", "b") != digest("POST", "/book/y", "b"))
	is.True(digest("POST", "/book", "b") != digest("PUT", "/book", "b"))
	is.True(digest("POST", "/book", "b") != digest("POST", "/book", "c"))
}

// Guards against losing the outcome when the caller disconnects.
func TestClaimedRequestSurvivesDisconnect(t *testing.T) {
	is := is.New(t)
	arrived, proceed := make(chan struct{}), make(chan struct{})
	up := newRecorder(t, "a", "near", func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-proceed
		_, _ = io.WriteString(w, "booked")
	})
	w := newHarness(t, up)
	conn := w.sendRaw(t, "POST /book", "Idempotency-Key: c\r\nContent-Length: 1\r\n", "x")
	<-arrived
	is.NoErr(conn.Close())
	close(proceed)
	eventually(t, "outcome recorded", func() bool { return len(w.completed) == 1 }, &w.mu)
	is.Equal(string(w.completed[0].Outcome.Body), "booked")
}
