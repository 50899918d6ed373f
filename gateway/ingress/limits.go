package ingress

import "time"

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// DefaultLimits hold until a plan sets others.
var DefaultLimits = Limits{
	MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

const (
	// maxBufferedBody is up to which length a body is read before the request is
	// handled. Longer ones are passed on as they arrive and can be sent only once.
	maxBufferedBody = 256 << 10
	// maxPipelined bounds the requests of one connection that run at once.
	maxPipelined = 16
	// bodyTimeout bounds each read of a body.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds writing an answer to a caller that reads slowly.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long a closing connection is read, since closing one
	// with unread bytes resets it and may take the answer with it. A request that
	// is read meanwhile gets no answer, so the time is short: the caller sees that
	// it was not read.
	lingerTimeout = 100 * time.Millisecond
	// maxLingerBytes bounds what is read while lingering.
	maxLingerBytes = 256 << 10
)
