package forward

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"pistachiomount.example/pistachiomount/forward/reject"
)

// caller is the connection to the caller of a request.
type caller struct {
	w            http.ResponseWriter
	rc           *http.ResponseController
	writeTimeout time.Duration
	// knowsChunks is set if a response without a length can be sent in chunks, as to callers of HTTP/1.1.
	knowsChunks bool
	// aborted is set once writes must fail.
	aborted atomic.Bool
}

func newCaller(w http.ResponseWriter, r *http.Request, writeTimeout time.Duration) *caller {
	return &caller{w: w, rc: http.NewResponseController(w), writeTimeout: writeTimeout, knowsChunks: r.ProtoAtLeast(1, 1)}
}

// setReadDeadline limits the time for reading the request; the zero time removes the
// limit.
func (c *caller) setReadDeadline(until time.Time) {
	_ = c.rc.SetReadDeadline(until) // not supported by recorders in tests
}

// extendWriteDeadline gives the next write the whole write timeout, unless writes were aborted.
func (c *caller) extendWriteDeadline() {
	_ = c.rc.SetWriteDeadline(time.Now().Add(c.writeTimeout)) // not supported by recorders in tests
	if c.aborted.Load() {
		c.failWrites() // the deadline above may have replaced that of the abort
	}
}

// failWrites makes a blocked write and all later ones fail.
func (c *caller) failWrites() {
	_ = c.rc.SetWriteDeadline(time.Unix(1, 0)) // the connection may be closed already
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

// abortResponse ends the connection within a response, so that it does not look complete. It does not return.
func (c *caller) abortResponse() {
	if !c.knowsChunks && c.w.Header().Get("Content-Length") == "" {
		c.reset() // the server would close the connection, which ends such a response
	}
	panic(http.ErrAbortHandler)
}

func (c *caller) reset() {
	nc, _, err := c.rc.Hijack()
	if err != nil {
		return // not supported by recorders in tests
	}
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that has ended already
	}
	_ = nc.Close()
}

// abortWritesOn makes writes fail when the context ends, also a blocked one. The returned function
// returns false if that happened; the connection must then be aborted.
func (c *caller) abortWritesOn(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, func() {
		c.aborted.Store(true)
		c.failWrites()
	})
}
