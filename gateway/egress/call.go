package egress

import (
	"io"
	"net/http"
	"time"
)

// Call is one request to one upstream.
type Call struct {
	Upstream string // ID of the upstream
	Address  string
	Method   string
	Target   string
	Host     string
	Header   http.Header
	Customer string
	// Body is the complete body, or its beginning if Rest is set.
	Body []byte
	// Rest is the remainder of a long body.
	Rest io.Reader
	// Length is the length of the complete body, -1 if unknown.
	Length int64
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Stream, if set, reports whether what has been read of a long successful response may be passed on before
	// its end has arrived. length is the length of the body, -1 if unknown.
	Stream func(now time.Time, length int64) bool
	// Withhold, if set, reports whether the request must not be sent after all. It is asked once there is a connection.
	Withhold func() bool

	// healthCheck marks a health check, whose response carries no signature.
	healthCheck bool
}
