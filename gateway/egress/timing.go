package egress

import "time"

const (
	// dialTimeout bounds a connection attempt: two round trips between the regions
	// that are farthest apart, and a processor that is busy.
	dialTimeout = 600 * time.Millisecond
	// userTimeout ends a connection on which sent bytes are not acknowledged. Open
	// connections may go silent for good while new ones work.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount find silent connections
	// while an upstream works on a request.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultIdleTimeout is how long a connection is kept whose upstream names no time.
	defaultIdleTimeout = 5 * time.Second
	// idleMargin is taken off the time that an upstream names, so that it does not
	// close a connection while a request is on its way.
	idleMargin = 1500 * time.Millisecond
	// maxIdlePerUpstream bounds the connections kept to one upstream.
	maxIdlePerUpstream = 16
	// deadlineMargin is taken off what is left for an upstream, for the way back.
	deadlineMargin = 5 * time.Millisecond
	// maxBufferedBody is up to which length an answer is read whole before it is passed
	// on, so that one that breaks off can be replaced.
	maxBufferedBody = 1 << 20
	// headBufferSize is the space set aside for the head of a request.
	headBufferSize = 1 << 10
	// restBufferSize is how much of a long body is passed on at once.
	restBufferSize = 32 << 10
	// maxMismatched bounds the answers to other requests that are skipped.
	maxMismatched = 2
)
