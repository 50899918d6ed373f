package gateway

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/gateway/ingress"
	"pistachiomount.example/pistachiomount/plan"
)

// Guards against callers that are told to come back within the timeout of their route, which limits
// one request, although they have more time: in an outage of 3 s such a retry was rejected too.
func TestRetryAfterFollowsTheTimeOfTheCaller(t *testing.T) {
	is := is.New(t)
	r := newTestRequest(t, &fakeUpstreams{}, true)
	r.gateway.cfg.Headers.Deadline = "X-Wait"
	r.request.Header.Set("X-Wait", "6000")
	r.route.Timeout = 1500 * time.Millisecond
	r.deadline, r.callerDeadline = r.gateway.deadlines(r.request, r.route)
	is.Equal(r.deadline.Sub(r.request.Received), 1500*time.Millisecond)
	seconds, err := strconv.ParseFloat(r.fail(ReasonNoShare).Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(seconds > 1.4 && seconds <= 2)
}

// Guards against deadlines beyond what the caller waits or the route allows, and against a panic or an
// overflow for numbers that are not meant.
func TestDeadlinesAreTheEarlierLimit(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := &Gateway{requests: newRequestLog(log), cfg: Config{Log: log, Headers: HeaderNames{RequestID: "X-Id", Deadline: "X-Wait"}}}
	const timeout = 1500 * time.Millisecond
	for header, want := range map[string][2]time.Duration{
		"":      {timeout, timeout},
		"x":     {timeout, timeout},
		"-1":    {timeout, timeout},
		"NaN":   {timeout, timeout},
		"300":   {300 * time.Millisecond, 300 * time.Millisecond},
		"6000":  {timeout, 6 * time.Second},
		"1e300": {timeout, time.Hour},
		"Inf":   {timeout, time.Hour},
	} {
		request := &ingress.Request{Header: http.Header{"X-Wait": {header}}, Received: time.Now()}
		response, caller := g.deadlines(request, &plan.Route{Timeout: timeout})
		is.New(t).Equal([2]time.Duration{response.Sub(request.Received), caller.Sub(request.Received)}, want)
	}
}
