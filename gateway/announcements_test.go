package gateway

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// again returns a copy of the request as a new one, under another ID.
func again(r *routedRequest, id string) *routedRequest {
	next := *r
	request := *r.request
	request.Header = http.Header{"X-Id": {id}}
	next.request, next.sends, next.mayHaveRun, next.reason, next.query.Tried = &request, 0, false, "", nil
	return &next
}

// Guards against a response that reaches the caller before the VM has noted that its upstream leaves:
// the next request of the caller would go there again.
func TestNextRequestAvoidsAnUpstreamThatLeaves(t *testing.T) {
	is := is.New(t)
	left := make(chan string, 100)
	f := newFakeUpstreams(t, 3, func(n int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		if n == 1 {
			w.Header().Set("X-Leaving", "1")
		}
		left <- r.Header.Get("X-Expected")
	})
	r := newTestRequest(t, f, true)
	var log bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&log)
	r.gateway.cfg.Log = logger
	is.Equal(r.run(context.Background()).Status, http.StatusOK)
	leaving := <-left
	for range 30 {
		is.Equal(again(r, "next").run(context.Background()).Status, http.StatusOK)
		is.True(<-left != leaving)
	}
	is.True(strings.Contains(log.String(), "change=leaving_began"))
	is.True(strings.Contains(log.String(), "upstream="+leaving))
}

// Guards against requests to an upstream within the pause that it has asked for, against a pause that ends
// the request which met it, and against callers that are told to wait while other upstreams are free.
func TestRejectionWithAPauseMovesRequestsToOtherUpstreams(t *testing.T) {
	is := is.New(t)
	sent := make(chan string, 200)
	f := newFakeUpstreams(t, 2, func(n int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		sent <- r.Header.Get("X-Expected")
		if n == 1 {
			w.Header().Set("X-Load", "0,0,4")
			w.Header().Set("X-Not-Run", "1")
			w.Header().Set("Retry-After", "1.5")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	r := newTestRequest(t, f, false)
	is.Equal(r.run(context.Background()).Status, http.StatusOK) // at the other one
	paused := <-sent
	is.True(<-sent != paused)
	for range 30 {
		is.Equal(again(r, "next").run(context.Background()).Status, http.StatusOK)
		is.True(<-sent != paused)
	}
}

// Guards against requests that wait although all upstreams pause for longer, and against callers that come
// back before the first one is open again.
func TestCallersReturnWhenTheFirstUpstreamDoes(t *testing.T) {
	is := is.New(t)
	f := newFakeUpstreams(t, 2, func(n int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Not-Run", "1")
		w.Header().Set("Retry-After", map[bool]string{true: "4", false: "9"}[n == 1])
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	r := newTestRequest(t, f, false)
	is.Equal(r.run(context.Background()).Status, http.StatusServiceUnavailable)
	next := again(r, "next")
	before := time.Now()
	response := next.run(context.Background())
	is.Equal(response.Status, http.StatusServiceUnavailable)
	is.True(time.Since(before) < 200*time.Millisecond)
	is.Equal(next.reason, ReasonPaused)
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after >= 3.5 && after <= 6.5)
	is.Equal(int(f.sent.Load()), 2)
}

// Guards against the pause of one upstream, for one VM, that reaches a caller as its own delay.
func TestPauseOfAnUpstreamIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	f := newFakeUpstreams(t, 1, func(_ int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("Retry-After", "30")
		w.WriteHeader(http.StatusServiceUnavailable) // it does not say that the request did not run
	})
	response := newTestRequest(t, f, false).run(context.Background())
	is.Equal(response.Status, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("Retry-After"), "")
}
