package ingress

import (
	"io"
	"net/http"
)

// Response is the response to one request.
type Response struct {
	Status int
	Header http.Header
	// Body is the complete body, or its beginning if Rest is set.
	Body []byte
	// Rest is the remainder of a long body. An error while reading it aborts the connection, so that
	// the response does not look complete.
	Rest io.ReadCloser
	// Length is the length of the complete body if Rest is set, -1 if unknown.
	Length int64
	// Release, if set, is called once the body is no longer needed.
	Release func()
	// Close closes the connection after this response.
	Close bool
	// Abort closes the connection without a response.
	Abort bool
}

// dropBody releases the body once it was sent, or will not be.
func (r *Response) dropBody() {
	r.Body = nil
	if r.Release != nil {
		r.Release()
		r.Release = nil
	}
}
