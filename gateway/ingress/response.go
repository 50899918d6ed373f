package ingress

import (
	"io"
	"net/http"
)

// Response is the answer to one request.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body, or its beginning if Rest is set.
	Body []byte
	// Rest is what follows Body of a long body. An error while it is read ends the
	// connection, so that the answer does not look complete.
	Rest io.ReadCloser
	// Length is the length of the whole body if Rest is set, -1 if it is not known.
	Length int64
	// Close ends the connection after this answer.
	Close bool
	// Abort ends the connection without an answer.
	Abort bool
}
