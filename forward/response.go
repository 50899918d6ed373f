package forward

import (
	"io"
	"net/http"
	"strconv"

	"pistachiomount.example/pistachiomount/forward/sanitize"
)

// sendResponse sends the attempt's response to the caller. If that fails after the status
// was sent, it aborts the connection, so that a caller cannot mistake a truncated response
// for a complete one.
func (x *exchange) sendResponse(c *caller, a *attempt) {
	sanitize.CopyResponseHeader(c.w.Header(), a.resp.Header)
	x.summary.Status = a.resp.StatusCode
	if a.complete {
		x.sendBuffered(c, a)
	} else {
		x.streamResponse(c, a)
	}
}

func (x *exchange) sendBuffered(c *caller, a *attempt) {
	body := a.buf.bytes()
	if len(a.resp.Trailer) == 0 && mayHaveBody(x.method, a.resp.StatusCode) {
		c.w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	addTrailer(c.w.Header(), a.resp.Trailer) // before WriteHeader; excludes a Content-Length
	a.release()
	x.releasePermit()
	c.extendWriteDeadline()
	c.w.WriteHeader(a.resp.StatusCode)
	if c.write(body) != nil {
		panic(http.ErrAbortHandler)
	}
}

func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

func addTrailer(dst, trailer http.Header) {
	if len(trailer) == 0 {
		return
	}
	clean := make(http.Header, len(trailer))
	sanitize.CopyResponseHeader(clean, trailer)
	for name, values := range clean {
		dst[http.TrailerPrefix+name] = values
	}
}

// streamResponse forwards a response that is too large to be buffered. A slow caller is
// limited by the timeout of each write and by the deadline.
func (x *exchange) streamResponse(c *caller, a *attempt) {
	stop := c.abortWritesOn(x.ctx)
	c.extendWriteDeadline()
	c.w.WriteHeader(a.resp.StatusCode)
	a.err = a.copyTo(c)
	if !stop() && a.err == nil {
		a.err = errAttemptCancelled
	}
	if a.err != nil {
		c.abortResponse()
	}
	addTrailer(c.w.Header(), a.resp.Trailer)
}

// copyTo returns errAttemptCancelled if the caller does not accept the response, so that
// the delay of a slow caller is not attributed to the upstream.
func (a *attempt) copyTo(c *caller) error {
	for done := false; ; {
		if c.write(a.buf.bytes()) != nil {
			a.cancel(errAttemptCancelled)
			return errAttemptCancelled
		}
		if done {
			return nil
		}
		a.buf.clear()
		n, err := a.read(a.buf.freeSpace(readChunk))
		a.buf.advance(n)
		if done = err == io.EOF; err != nil && !done {
			return a.resolveError(err)
		}
	}
}
