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
	// Close closes the connection after this response.
	Close bool
	// Abort closes the connection without a response.
	Abort bool
}
