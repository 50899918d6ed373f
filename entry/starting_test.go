package entry

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/clock"
)

// Guards against a starting VM that rejects a request for a misleading reason, such as
// an unknown route, because it has no document and no grants yet.
func TestStartingVMRejectsRequests(t *testing.T) {
	is := is.New(t)
	d := newTestDaemon(t, &clock.Manual{}, &fakeDialer{}, "a")
	w := httptest.NewRecorder()
	d.callerServer().Handler.ServeHTTP(w, httptest.NewRequest("GET", "/records/1", nil))
	is.Equal(w.Code, 503)
	is.True(strings.Contains(w.Body.String(), "view_stale"))
	is.Equal(w.Header().Get("X-Request-Run"), "not_run")
}
