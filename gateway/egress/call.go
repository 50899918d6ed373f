package egress

import (
	"io"
	"net/http"
	"time"
)

// Call is one request to one upstream.
type Call struct {
	Upstream string // id
	Address  string
	Method   string
	Target   string
	Host     string
	Header   http.Header
	Customer string
	// Body is the whole body, or its beginning if Rest is set.
	Body   []byte
	Rest   io.Reader
	Length int64
	// Deadline is when the caller stops waiting.
	Deadline time.Time

	// healthCheck marks a health healthCheck, whose answer has no signature.
	healthCheck bool
}
