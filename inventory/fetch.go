package inventory

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/headlimit"
	"pistachiomount.example/pistachiomount/responsehead"
)

const (
	// maxIdleConns allows one idle connection to each upstream of a service between two probes.
	maxIdleConns = 256
	// idleTimeout closes connections to upstreams that are no longer probed.
	idleTimeout = 30 * time.Second
)

// newTransport returns a transport without a proxy: components are addressed by
// IP and reached directly.
func newTransport() *responsehead.Transport {
	return responsehead.NewTransport(&http.Transport{
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    1,
		MaxResponseHeaderBytes: headlimit.MaxBytes,
		IdleConnTimeout:        idleTimeout,
	})
}

// httpResponse is a response with its complete body.
type httpResponse struct {
	status int
	header http.Header
	// closing is true if the response had "Connection: close".
	closing bool
	body    []byte
}

// fetch sends a GET request and reads at most limit bytes of the body within the
// timeout. Redirects are not followed, since they could lead to other hosts.
func fetch(ctx context.Context, transport http.RoundTripper, url string, timeout time.Duration, limit int64) (httpResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return httpResponse{}, errors.Trace(err)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return httpResponse{}, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return httpResponse{}, errors.Trace(err)
	}
	if int64(len(body)) > limit {
		return httpResponse{}, errors.WithType(errors.Errorf("body exceeds %d bytes", limit), ErrTooLarge)
	}
	return httpResponse{response.StatusCode, response.Header, response.Close, body}, nil
}
