package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that a stopping VM sends to an upstream and then cuts, although another VM
// could have served it, and against rejecting what is answered in time.
func TestStoppingVMRejectsWhatItWouldCut(t *testing.T) {
	for _, c := range []struct {
		name    string
		left    time.Duration // of the planned stop
		average time.Duration
		status  int
	}{
		{"no stop", 0, 8 * time.Second, http.StatusOK},
		{"short request", 2 * time.Second, 300 * time.Millisecond, http.StatusOK},
		{"long request", 2 * time.Second, 1500 * time.Millisecond, http.StatusServiceUnavailable},
		{"unknown, short target", time.Second, 0, http.StatusOK},
		{"unknown, at the end", 500 * time.Millisecond, 0, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeUpstreams(t, 2, func(int, http.ResponseWriter, *http.Request) {})
			r := newTestRequest(t, f, false)
			if c.left > 0 {
				r.gateway.stopsAt.Store(time.Now().Add(c.left).UnixNano())
			}
			if c.average > 0 {
				r.gateway.latencies.record("r1", c.average)
			}
			response := r.run(context.Background())
			is.Equal(response.Status, c.status)
			is.Equal(f.sent.Load() > 0, c.status == http.StatusOK)
			if c.status != http.StatusOK {
				is.Equal(r.reason, ReasonStopping)
				is.True(response.Header.Get("Retry-After") != "")
			}
		})
	}
}
