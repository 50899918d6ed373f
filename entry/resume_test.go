package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

// lookUp returns the status of a lookup by a caller that leaves after a moment.
func lookUp(d *Daemon) int {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	w := httptest.NewRecorder()
	d.serveLookup(w, httptest.NewRequest(http.MethodGet, "/v1/lookup", nil).WithContext(ctx))
	return w.Code
}

// Guards against an entry VM that resumes from a pause and decides by its view, or answers lookups from its list, before it
// has learned what it missed.
func TestPausedEntryAwaitsItsView(t *testing.T) {
	is := is.New(t)
	c := &clock.Manual{}
	c.Advance(time.Second) // so that the incarnation is not 0
	d := newTestDaemon(t, c, &fakeDialer{}, "a")
	applyDocument(t, d, exampleDocument(t, 1), 1)
	d.lookups.setFleet(1, []*apipb.Vm{{Name: "e", Address: "127.0.0.1:1", Region: "bogota", State: apipb.VmState_VM_STATE_SERVING}})
	d.knowledge.recordRenewal(c.Now())
	is.NoErr(d.lifecycle.Serve())
	before := d.View()
	is.True(!before.Outdated)
	is.Equal(lookUp(d), http.StatusOK)

	c.Advance(7 * time.Second)
	is.True(d.View().Outdated)
	is.True(d.View().Run != before.Run)
	is.Equal(lookUp(d), http.StatusServiceUnavailable)
	is.True(d.Await(t.Context(), time.Now().Add(20*time.Millisecond)).Outdated)

	go func() {
		time.Sleep(20 * time.Millisecond)
		d.knowledge.recordRenewal(c.Now())
		applyDocument(t, d, exampleDocument(t, 2), 2)
	}()
	after := d.Await(t.Context(), time.Now().Add(time.Minute))
	is.True(!after.Outdated)
	is.Equal(after.Revision, uint64(2))
	is.Equal(lookUp(d), http.StatusOK)
}
