package inventory

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

const (
	// maxIdleConns keeps a connection to every upstream of a service between two probes.
	maxIdleConns = 256
	// maxHeaderBytes bounds the headers of an answer.
	maxHeaderBytes = 16 << 10
	// idleTimeout closes connections to upstreams that have left.
	idleTimeout = 30 * time.Second
)

// newTransport returns a transport that uses no proxy: components are
// addressed by IP and reached directly.
func newTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    1,
		MaxResponseHeaderBytes: maxHeaderBytes,
		IdleConnTimeout:        idleTimeout,
	}
}

// httpResponse is a response whose body was read whole.
type httpResponse struct {
	status int
	header http.Header
	// closing is true if the server announced that it closing the connection.
	closing bool
	body    []byte
}

// fetch reads at most limit bytes of body within the timeout. Redirects are not
// followed, since they could lead to other hosts.
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
		return httpResponse{}, errors.WithType(errors.Errorf("more than %d bytes", limit), ErrTooLarge)
	}
	return httpResponse{response.StatusCode, response.Header, response.Close, body}, nil
}
