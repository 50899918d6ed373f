package pool

import (
	"time"

	"pistachiomount.example/pistachiomount/headlimit"
)

// Options configures a Set.
type Options struct {
	Permits Permits
	// DialTimeout limits how long opening a connection may take.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection may stay idle before it is closed.
	IdleTimeout time.Duration
	// MaxIdlePerUpstream limits idle connections, which keep their permits.
	MaxIdlePerUpstream int
	// MaxResponseHeaderBytes limits the size of response headers.
	MaxResponseHeaderBytes int64
}

const (
	// defaultDialTimeout allows for one lost SYN (retransmitted after 1 s) at a round trip
	// of 110 ms.
	defaultDialTimeout = 1500 * time.Millisecond
	defaultIdleTimeout = 30 * time.Second
	// defaultMaxIdlePerUpstream exceeds the slots of one upstream, which limit its concurrent
	// requests.
	defaultMaxIdlePerUpstream = 16
)

func (o Options) withDefaults() Options {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.MaxIdlePerUpstream == 0 {
		o.MaxIdlePerUpstream = defaultMaxIdlePerUpstream
	}
	if o.MaxResponseHeaderBytes == 0 {
		o.MaxResponseHeaderBytes = headlimit.MaxBytes
	}
	return o
}
