package ingress

import "time"

// Limits bound the size of requests and the time that callers may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// DefaultLimits apply until a plan sets others.
var DefaultLimits = Limits{
	MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

const (
	// maxBufferedBody is the largest body, in bytes, that is read before the request is handled.
	// Longer ones are forwarded as they arrive and can be sent only once.
	maxBufferedBody = 256 << 10
	// initialBodyBytes is the initial buffer of a body, in bytes, and bodyBufferGrowth the factor by which
	// it grows.
	initialBodyBytes = 4 << 10
	bodyBufferGrowth = 4
	// maxPipelined limits the pending requests of one connection.
	maxPipelined = 16
	// bodyTimeout limits each read of a body.
	bodyTimeout = 10 * time.Second
	// writeTimeout limits each write to a caller that reads slowly.
	writeTimeout = 10 * time.Second
	// firstRequestTime is how long a stopping server waits for the first request of a connection.
	firstRequestTime = 200 * time.Millisecond
	// lingerTimeout is how long a closing connection is read. Closing a connection with unread bytes
	// resets it, which may destroy the response. A request that arrives meanwhile gets no answer, so the
	// time is short: the caller then sees that the request was not read.
	lingerTimeout = 100 * time.Millisecond
	// maxLingerBytes limits the bytes discarded while lingering.
	maxLingerBytes = 256 << 10
)
