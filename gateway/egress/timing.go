package egress

import "time"

const (
	// dialTimeout limits a connection attempt: two round trips between the regions that are farthest
	// apart, plus time for a busy processor.
	dialTimeout = 600 * time.Millisecond
	// userTimeout ends a connection on which sent bytes are not acknowledged. An established
	// connection may stop delivering packets for good while new connections work.
	userTimeout = 1500 * time.Millisecond
	// endCheckInterval is how often a blocked write looks for the end of the upstream's side. It is well below userTimeout,
	// after which the connection fails.
	endCheckInterval = 100 * time.Millisecond
	// longRequest is the length in bytes from which the body of a request may block its write. Linux takes 16 KiB on a new
	// connection, the head included.
	longRequest = 8 << 10
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect dead connections while an upstream
	// works on a request.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultIdleTimeout is how long an idle connection is kept if its upstream announces no timeout.
	defaultIdleTimeout = 5 * time.Second
	// idleMargin is subtracted from the announced timeout, so that the upstream does not close a
	// connection while a request is on its way.
	idleMargin = 1500 * time.Millisecond
	// maxIdlePerUpstream limits the idle connections to one upstream.
	maxIdlePerUpstream = 16
	// deadlineMargin is subtracted from the time left for an upstream, for the way back of the
	// response.
	deadlineMargin = 5 * time.Millisecond
	// maxBufferedBody is the largest response body, in bytes, that is read completely before it is
	// forwarded, so that the request can be retried if the response is truncated.
	maxBufferedBody = 1 << 20
	// streamThreshold is the length in bytes up to which a body is always read completely.
	streamThreshold = 16 << 10
	// headBufferSize is the initial buffer size for a request head, in bytes.
	headBufferSize = 1 << 10
	// readBufferSize is the buffer size for reading responses, in bytes.
	readBufferSize = 4 << 10
	// bodyBufferGrowth is the factor by which the buffer of a body of unknown length grows, so that it
	// never holds much more than the body.
	bodyBufferGrowth = 4
	// restBufferSize is the buffer size for copying the remainder of a long body, in bytes.
	restBufferSize = 32 << 10
	// maxMismatched limits the responses to other requests that are skipped.
	maxMismatched = 2
)
