package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/document"
)

// pause makes the view outdated, as after a pause of the process.
func pause(v *View) { v.Outdated, v.Run = true, v.Run+1 }

// confirm ends that with a document in which the route with a prefix is changed.
func confirm(prefix string, change func(*document.Route)) func(*View) {
	return func(v *View) {
		doc := testDocument(aliceKey)
		for i := range doc.Services[0].Routes {
			if r := &doc.Services[0].Routes[i]; r.Prefix == prefix {
				change(r)
			}
		}
		v.Index, v.Revision, v.Outdated = document.NewIndex(doc), v.Revision+1, false
	}
}

func notIdempotent(r *document.Route) { r.Idempotent = false }

// Guards against requests that are decided by a view from before a pause, above all those of public routes, which need no
// fresh view; and against refusing them although the view is confirmed in time.
func TestRequestsAwaitTheViewAfterAPause(t *testing.T) {
	for name, send := range map[string]func(*harness) reply{
		"public":   func(w *harness) reply { return w.do("GET", "/open", "") },
		"with key": func(w *harness) reply { return w.doAsAlice("GET", "/look", "") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			up := newRecorder(t, "a", "near", nil)
			w := newHarness(t, up)
			w.setView(pause)
			answered := make(chan reply, 1)
			go func() { answered <- send(w) }()
			time.Sleep(30 * time.Millisecond)
			is.Equal(up.count(), 0)
			w.setView(confirm("/none", nil))
			is.Equal((<-answered).status, http.StatusOK)
			is.Equal(up.count(), 1)
		})
	}
}

// Guards against a public route that has been closed during a pause and runs requests of callers without a key.
func TestWaitingRequestOfAClosedRouteDoesNotRun(t *testing.T) {
	is := is.New(t)
	up := newRecorder(t, "a", "near", nil)
	w := newHarness(t, up)
	w.queueGate = func(context.Context) error {
		w.setView(pause)
		w.setView(confirm("/open", func(r *document.Route) { r.Public = false }))
		return nil
	}
	is.Equal(w.do("GET", "/open", "").reason(), "view_stale/not_run")
	is.Equal(up.count(), 0)
}

// Guards against repeating a request after a pause in which its route ceased to be idempotent, and against sending it once
// more by a connection that replays requests.
func TestRequestIsRepeatedOnlyByTheViewInForce(t *testing.T) {
	is := is.New(t)
	var w *harness
	var bad, other *recorder
	bad = newRecorder(t, "bad", "near", func(rw http.ResponseWriter, r *http.Request) {
		w.setView(pause)
		w.setView(confirm("/open", notIdempotent))
		rw.WriteHeader(http.StatusServiceUnavailable)
	})
	other = newRecorder(t, "b", "near", nil)
	w = newHarness(t, bad, other)
	is.Equal(w.do("GET", "/open", "").reason(), "upstream_failed/unknown")
	is.Equal(bad.count()+other.count(), 1)

	cut := newRecorder(t, "cut", "near", sendAndClose(""))
	w = newHarness(t, cut, newRecorder(t, "b", "near", nil))
	w.queueGate = func(context.Context) error {
		w.setView(pause)
		w.setView(confirm("/open", notIdempotent))
		return nil
	}
	is.Equal(w.do("GET", "/open", "").reason(), "upstream_failed/unknown")
	is.Equal(cut.count(), 1)
}

// Guards against a request that is sent after a pause that came between the check of the view and the connection, and against
// refusing it although it is still allowed.
func TestRequestIsWithheldIfAPauseCameBeforeItWasSent(t *testing.T) {
	closed := confirm("/pay", func(r *document.Route) { r.Public = false })
	for name, c := range map[string]struct {
		path   string
		change func(*View)
		want   string // reason and whether it ran; empty if it is served
	}{
		"allowed":                {path: "/book", change: confirm("/none", nil)},
		"revoked":                {path: "/book", change: func(v *View) { revoke(v); v.Outdated = false }, want: "key_unknown/not_run"},
		"public":                 {path: "/pay", change: confirm("/none", nil)},
		"no longer public":       {path: "/pay", change: closed, want: "view_stale/not_run"},
		"idempotent":             {path: "/open", change: confirm("/none", nil)},
		"idempotent, not public": {path: "/open", change: confirm("/open", func(r *document.Route) { r.Public = false }), want: "view_stale/not_run"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			up := newRecorder(t, "a", "far", nil) // over a link, whose grant is awaited before the send
			w := newHarness(t, up)
			paused := false
			w.linkGate = func(context.Context) error {
				if !paused {
					paused = true
					w.setView(pause)
					w.setView(c.change)
				}
				return nil
			}
			method, key := "POST", []string{}
			if c.path == "/open" {
				method = "GET"
			}
			if c.path == "/book" {
				key = []string{"X-Api-Key", aliceKey}
			}
			got := w.do(method, c.path, "", key...)
			if c.want != "" {
				is.Equal(got.reason(), c.want)
				is.Equal(up.count(), 0)
				return
			}
			is.Equal(got.status, http.StatusOK)
			is.Equal(up.count(), 1)
		})
	}
}
