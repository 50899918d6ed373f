package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/plan"
)

// testRoute is the route of the requests of newTestRequest.
func testRoute(change func(*plan.Route)) plan.Route {
	route := plan.Route{
		Name: "r1", Host: "h", Prefix: "/", Idempotent: true, MaxAttempts: 2, Target: 400 * time.Millisecond,
		Split: []plan.WeightedService{{Service: "s", Weight: 1}},
	}
	if change != nil {
		change(&route)
	}
	return route
}

// permitBy makes a request subject to the plan in force. resumed tells whether the VM has learned of it since the pause.
func permitBy(r *routedRequest, c clock.Clock, p *plan.Plan, resumed bool) {
	r.request.Path = "/"
	index := plan.NewIndex(p)
	r.permission = permission{
		clock: c, checkedAt: c.Now(), knowledge: fixedKnowledge{current: resumed},
		stillAllowed: func() bool { return r.stillAllowed(index) },
	}
}

// Guards against repeating a request after a pause by the plan from before, in which its route was idempotent.
func TestRequestIsRepeatedOnlyByThePlanInForce(t *testing.T) {
	for _, c := range []struct {
		name            string
		change          func(*plan.Route)
		resumed, repeat bool
	}{
		{name: "nothing changed", resumed: true, repeat: true},
		{name: "no longer idempotent", change: func(r *plan.Route) { r.Idempotent = false }, resumed: true},
		{name: "not known yet", resumed: false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			manual := &clock.Manual{}
			f := newFakeUpstreams(t, 3, func(n int, w http.ResponseWriter, _ *http.Request) {
				if n == 1 {
					manual.Advance(7 * time.Second)
					closeConn(w)
				}
			})
			r := newTestRequest(t, f, true)
			permitBy(r, manual, &plan.Plan{Routes: []plan.Route{testRoute(c.change)}}, c.resumed)
			response := r.run(context.Background())
			if c.repeat {
				is.Equal(response.Status, http.StatusOK)
				is.Equal(f.sent.Load(), int32(2))
				return
			}
			is.Equal(response.Status, http.StatusBadGateway) // it may have run
			is.Equal(f.sent.Load(), int32(1))
		})
	}
}
