package ingress

import (
	"context"
	"net/http"
	"os"

	"github.com/juju/errors"
)

// Cut describes a response that was cut while it was sent.
type Cut struct {
	// Request is the header of the request.
	Request http.Header
	Status  int
	Cause   CutCause
	// Stopping is set if the server was closing connections after their responses.
	Stopping bool
	Err      error
}

// CutCause is why a response was cut while it was sent.
type CutCause string

// Causes, as in logs and metrics.
const (
	// CutCallerGone: the caller closed or reset its connection.
	CutCallerGone CutCause = "caller_gone"
	// CutTimeout: a deadline of this VM on the caller's connection passed.
	CutTimeout CutCause = "timeout"
	// CutUpstream: the remainder of the response could not be read from the upstream.
	CutUpstream CutCause = "upstream"
)

// errRest is returned if the remainder of a long response could not be read.
const errRest = errors.ConstError("remainder of the response not read")

// ReportCuts makes the server call f for each response that is cut while it is sent, on the goroutine of its request.
// It is called before Serve.
func (s *Server) ReportCuts(f func(Cut)) { s.onCut = f }

// reportCut reports a response whose sending failed with err, or with the cause of the connection's context if that has
// ended.
func (c *conn) reportCut(request *http.Request, response *Response, err error) {
	if c.server.onCut == nil || request == nil {
		return
	}
	if cause := context.Cause(c.ctx); cause != nil {
		err = cause
	}
	c.server.onCut(Cut{
		Request: request.Header, Status: response.Status, Cause: cutCause(err), Stopping: c.server.closing.Load(), Err: err,
	})
}

func cutCause(err error) CutCause {
	switch {
	case errors.Is(err, errRest):
		return CutUpstream
	case errors.Is(err, os.ErrDeadlineExceeded):
		return CutTimeout
	}
	return CutCallerGone
}
