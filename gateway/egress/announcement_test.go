package egress_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/announce"
	"pistachiomount.example/pistachiomount/gateway/egress"
	"pistachiomount.example/pistachiomount/memlimit"
)

// Guards against an announcement of another process, or of another request's late response, that counts
// for this upstream, and against one that is lost because the body was cut.
func TestOnlyResponsesOfTheUpstreamAnnounce(t *testing.T) {
	limited := announce.Announcement{Heard: true, Limited: true, RateLimit: 2.5}
	const head = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Limit: 2.5\r\n"
	cases := map[string]struct {
		script    script
		announced announce.Announcement
	}{
		"whole": {func(id string, c net.Conn) { write(c, "%sX-Id: %s\r\nContent-Length: 0\r\n\r\n", head, id) }, limited},
		"cut": {func(id string, c net.Conn) {
			write(c, "%sX-Id: %s\r\nContent-Length: 9\r\n\r\nfin", head, id)
			_ = c.Close()
		}, limited},
		"not run": {func(id string, c net.Conn) {
			write(c, "HTTP/1.1 503 Full\r\nX-Id: %s\r\nX-Not-Run: 1\r\nX-Limit: 2.5\r\nContent-Length: 0\r\n\r\n", id)
		}, limited},
		"no limit": {succeed("fine"), announce.Announcement{Heard: true}},
		"misdirected": {func(id string, c net.Conn) {
			write(c, "HTTP/1.1 421 No\r\nX-Id: %s\r\nX-Limit: 2.5\r\nContent-Length: 0\r\n\r\n", id)
		}, announce.Announcement{}},
		"late answer to another request": {func(id string, c net.Conn) {
			write(c, "%sX-Id: other\r\nContent-Length: 0\r\n\r\n%s", head, answer(id, "mine"))
		}, announce.Announcement{Heard: true}},
		"interim response": {func(id string, c net.Conn) {
			write(c, "HTTP/1.1 103 Early Hints\r\nX-Limit: 2.5\r\n\r\n%s", answer(id, "mine"))
		}, announce.Announcement{Heard: true}},
		"closed": {func(_ string, c net.Conn) { _ = c.Close() }, announce.Announcement{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pool := egress.NewPool(names, memlimit.NewBudget(bufferMemory))
			defer pool.Close()
			s := serveScripts(t, c.script)
			is.Equal(pool.Do(context.Background(), newCall(s, "id-1")).Announced, c.announced)
		})
	}
}

// Guards against health checks that overlook what an upstream says in its answer to them, such as a pause,
// and against what another upstream at its address says.
func TestHealthChecksReadAnnouncements(t *testing.T) {
	for upstream, want := range map[string]announce.Announcement{
		"u-1": {Heard: true, Pause: 7 * time.Second, Leaving: true},
		"u-2": {},
	} {
		is := is.New(t)
		pool := egress.NewPool(names, memlimit.NewBudget(bufferMemory))
		s := serveScripts(t, func(_ string, c net.Conn) {
			write(c, "HTTP/1.1 503 No\r\nX-Instance: %s\r\nRetry-After: 7\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n", upstream)
		})
		health := pool.CheckHealth(context.Background(), "u-1", s.address, "/health")
		is.Equal(health, egress.Health{Announced: want})
		pool.Close()
	}
}
