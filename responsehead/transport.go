package responsehead

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.Transport for plain HTTP/1 whose responses have valid status lines. Its connections are closed after an
// invalid one.
type Transport struct {
	base *http.Transport
}

// NewTransport wraps a transport, which it changes: it must not be used alone afterwards.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return &Transport{base: base}
}

// expectOnConn starts the check of the connection that the transport takes for a request.
func expectOnConn(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*Conn); ok {
		c.ExpectResponse()
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	// WithClientTrace changes its argument, so that requests cannot share one.
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: expectOnConn})
	response, err := t.base.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err // not annotated, because http.Client looks for its type
	}
	if err := Check(response); err != nil {
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
