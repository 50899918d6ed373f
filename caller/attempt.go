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
)

// dialTimeout bounds connecting, so that a dead VM does not use up the timeout
// of a request that could still go to another.
const dialTimeout = time.Second

// request is one request to send.
type request struct {
	method, path, query string
	header              http.Header
	bodyBytes           int
}

// response is an answer read to its end.
type response struct {
	status int
	header http.Header
	body   []byte
}

// attemptError is a failed attempt.
type attemptError struct {
	error
	// sent is true if a connection had been made, so that a part of the
	// request may have arrived.
	sent bool
}

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.error }

// newTransport returns a transport for one run. Requests that must not be
// repeated get a new connection each: on a kept one that the VM is closing, it
// is unknown whether the request arrived.
func newTransport(keepAlive bool, connections int) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:   !keepAlive,
		MaxIdleConns:        connections,
		MaxIdleConnsPerHost: connections,
		DisableCompression:  true,
	}
}

// sendAttempt sends the request to one VM and reads the whole answer.
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
		return response{}, &attemptError{errors.Annotate(err, "incomplete answer"), true}
	}
	return response{resp.StatusCode, resp.Header, body}, nil
}

func newHTTPRequest(ctx context.Context, vm netip.AddrPort, req request) (*http.Request, error) {
	var body io.Reader
	if req.bodyBytes > 0 {
		// A plain reader leaves GetBody unset, so that the transport never
		// sends the body a second time by itself.
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

// fillerReader is an endless body.
type fillerReader struct{}

func (fillerReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}
