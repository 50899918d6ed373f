package gateway

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"

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
