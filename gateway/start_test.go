package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a gateway that starts and serves by the plan of a control daemon that lags behind: one that was paused,
// or that has just started and reached no majority yet. Once the plan is confirmed it serves at once.
func TestStartingGatewayServesOnlyByAConfirmedPlan(t *testing.T) {
	is := is.New(t)
	u := newRecordedUpstreams(t, 1)
	g := startTestGateway(t, u.fakeUpstreams, newTestPlan(1, "former", nil), func(c *fakeControl) { c.age = longPause })
	g.awaitRevision(1)
	for range 20 {
		is.Equal(g.Serve(t.Context(), g.newRequest(movedKey)).Status, http.StatusServiceUnavailable)
		is.True(!g.Ready())
		is.Equal(len(g.Directory(t.Context(), "r", "d")), 0)
		time.Sleep(5 * time.Millisecond)
	}
	g.control.setPlan(t, newTestPlan(2, "new", nil))
	g.awaitRevision(2) // still not confirmed
	is.True(!g.Ready())
	g.control.set(func() { g.control.age = 0 })
	g.eventually(g.Ready)
	request := g.newRequest(movedKey)
	is.Equal(g.Serve(t.Context(), request).Status, http.StatusOK)
	customer, _ := u.ranFor(request.Header.Get("X-Id"))
	is.Equal(customer, "new")
	is.Equal(u.sent.Load(), int32(1))
}
