package forward

import (
	"context"
	"net/http"
	"time"

	"pistachiomount.example/pistachiomount/forward/reject"
)

// caller is the connection to the caller of a request.
type caller struct {
	w            http.ResponseWriter
	rc           *http.ResponseController
	writeTimeout time.Duration
}

func newCaller(w http.ResponseWriter, writeTimeout time.Duration) *caller {
	return &caller{w: w, rc: http.NewResponseController(w), writeTimeout: writeTimeout}
}

// setReadDeadline limits the time for reading the request; the zero time removes the
// limit.
func (c *caller) setReadDeadline(until time.Time) {
	_ = c.rc.SetReadDeadline(until) // not supported by recorders in tests
}

// extendWriteDeadline gives the next write the whole write timeout.
func (c *caller) extendWriteDeadline() {
	_ = c.rc.SetWriteDeadline(time.Now().Add(c.writeTimeout)) // not supported by recorders in tests
}

// reject sends a rejection. If body bytes are still to come it closes the connection,
// because the server would otherwise wait for them before it sends the rejection.
func (c *caller) reject(r *reject.Rejection, bodyPending bool) {
	c.extendWriteDeadline()
	if bodyPending {
		c.setReadDeadline(time.Now().Add(c.writeTimeout))
		c.w.Header()["Connection"] = []string{"close"}
	}
	r.Write(c.w)
}

func (c *caller) write(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	c.extendWriteDeadline()
	_, err := c.w.Write(p)
	return err
}

// abortWritesOn makes a blocked write fail when the context ends. The returned function
// returns false if that happened; the connection must then be aborted.
func (c *caller) abortWritesOn(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, func() {
		_ = c.rc.SetWriteDeadline(time.Unix(1, 0)) // the connection may be closed already
	})
}
