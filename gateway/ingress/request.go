package ingress

import (
	"io"
	"net/http"
	"time"
)

// Request is one request of a caller.
type Request struct {
	Method string
	// Target is the request target as the caller sent it, with its query.
	Target string
	// Path is the target without its query.
	Path   string
	Host   string
	Header http.Header
	// HTTP10 is set if the caller does not speak HTTP/1.1, so that it cannot tell a response without a length that
	// is cut short from a complete one.
	HTTP10 bool
	// Body is the complete body, or its beginning if Rest is set.
	Body []byte
	// Rest is the remainder of a long body; it can be read only once.
	Rest io.Reader
	// Length is the length of the complete body, -1 if unknown.
	Length int64
	// Received is when the request was read, except for the remainder of a long body.
	Received time.Time
}
