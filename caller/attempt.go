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

// attempt sends the request to one VM and reads the whole answer.
func attempt(ctx context.Context, transport http.RoundTripper, vm netip.AddrPort, wanted request) (response, *attemptError) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	built, err := build(ctx, vm, wanted)
	if err != nil {
		return response{}, &attemptError{err, false}
	}
	got, err := transport.RoundTrip(built)
	if err != nil {
		return response{}, &attemptError{err, connected.Load()}
	}
	defer func() { _ = got.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(got.Body, maxAnswerBytes+1))
	if err != nil {
		return response{}, &attemptError{errors.Annotate(err, "incomplete answer"), true}
	}
	return response{got.StatusCode, got.Header, body}, nil
}

func build(ctx context.Context, vm netip.AddrPort, wanted request) (*http.Request, error) {
	var body io.Reader
	if wanted.bodyBytes > 0 {
		// A plain reader leaves GetBody unset, so that the transport never
		// sends the body a second time by itself.
		body = io.LimitReader(filler{}, int64(wanted.bodyBytes))
	}
	built, err := http.NewRequestWithContext(ctx, wanted.method, "http://"+vm.String()+wanted.path, body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	built.URL.RawQuery = wanted.query
	built.ContentLength = int64(wanted.bodyBytes)
	built.Header = wanted.header.Clone()
	return built, nil
}

// filler is an endless body.
type filler struct{}

func (filler) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}
