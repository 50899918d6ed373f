package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/headlimit"
	"pistachiomount.example/pistachiomount/responsehead"
)

// dialTimeout bounds connection setup, so that an unreachable VM does not use up
// the timeout of a request that another VM could still handle.
const dialTimeout = time.Second

// request describes an HTTP request without the VM that it is sent to.
type request struct {
	method, path, query string
	header              http.Header
	bodyBytes           int
}

// response is a completely read HTTP response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// attemptError is the error of a failed attempt.
type attemptError struct {
	error
	// sent is true if there was a connection, so that part of the request may have
	// reached the VM.
	sent bool
}

// Unwrap returns the underlying error.
func (e *attemptError) Unwrap() error { return e.error }

// NewTransport returns a transport for one run. Without keepAlive, which is for
// requests that must not be retried, each request gets a new connection: if the VM
// closes an idle connection while a request is sent on it, the caller cannot know
// whether the request arrived.
func NewTransport(keepAlive bool, connections int) *responsehead.Transport {
	return responsehead.NewTransport(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:      !keepAlive,
		MaxIdleConns:           connections,
		MaxIdleConnsPerHost:    connections,
		DisableCompression:     true,
		MaxResponseHeaderBytes: headlimit.MaxBytes,
	})
}

// sendAttempt sends the request to one VM and reads the complete response.
func sendAttempt(ctx context.Context, transport http.RoundTripper, vm netip.AddrPort, req request) (response, *attemptError) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	httpReq, err := newHTTPRequest(ctx, vm, req)
	if err != nil {
		return response{}, &attemptError{err, false}
	}
	resp, err := transport.RoundTrip(httpReq)
	if err != nil {
		return response{}, &attemptError{err, connected.Load()}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return response{}, &attemptError{errors.Annotate(err, "incomplete response"), true}
	}
	return response{resp.StatusCode, resp.Header, body}, nil
}

// newHTTPRequest returns req as an HTTP request to vm.
func newHTTPRequest(ctx context.Context, vm netip.AddrPort, req request) (*http.Request, error) {
	var body io.Reader
	if req.bodyBytes > 0 {
		// A LimitedReader leaves GetBody unset, so that the transport cannot
		// resend the body on its own.
		body = io.LimitReader(fillerReader{}, int64(req.bodyBytes))
	}
	httpReq, err := http.NewRequestWithContext(ctx, req.method, "http://"+vm.String()+req.path, body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	httpReq.URL.RawQuery = req.query
	httpReq.ContentLength = int64(req.bodyBytes)
	httpReq.Header = req.header.Clone()
	return httpReq, nil
}

// fillerReader is an endless reader of request body bytes.
type fillerReader struct{}

func (fillerReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}
