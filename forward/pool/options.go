package pool

import "time"

// Options are the settings of a Set.
type Options struct {
	Permits Permits
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout closes connections that were idle for so long.
	IdleTimeout time.Duration
	// MaxIdlePerUpstream bounds idle connections, which hold permits.
	MaxIdlePerUpstream int
	// MaxResponseHeaderBytes bounds the headers of a response.
	MaxResponseHeaderBytes int64
}

const (
	// defaultDialTimeout covers a lost SYN (retransmitted after 1 s) at 110 ms round trip.
	defaultDialTimeout = 1500 * time.Millisecond
	defaultIdleTimeout = 30 * time.Second
	// defaultMaxIdle is above the slots of one upstream, which bound concurrent use.
	defaultMaxIdle                = 16
	defaultMaxResponseHeaderBytes = 64 << 10
)

func (o Options) withDefaults() Options {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.MaxIdlePerUpstream == 0 {
		o.MaxIdlePerUpstream = defaultMaxIdle
	}
	if o.MaxResponseHeaderBytes == 0 {
		o.MaxResponseHeaderBytes = defaultMaxResponseHeaderBytes
	}
	return o
}
