package egress

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/memlimit"
)

// poolKey identifies an upstream. It holds the ID because an address may be reused by another
// upstream.
type poolKey struct{ upstream, address string }

// Pool sends requests to upstreams and keeps idle connections for reuse.
type Pool struct {
	names    HeaderNames
	stripped map[string]bool
	dialer   net.Dialer
	// buffers bounds the memory of buffered response bodies.
	buffers *memlimit.Budget

	mu   sync.Mutex
	idle map[poolKey][]*upstreamConn
	// Dials counts connection attempts.
	Dials atomic.Uint64
}

// NewPool returns an empty pool. The bodies of responses are buffered as far as the budget allows.
func NewPool(names HeaderNames, buffers *memlimit.Budget) *Pool {
	p := &Pool{names: names, stripped: strippedHeaders(names), buffers: buffers, idle: map[poolKey][]*upstreamConn{}}
	p.dialer = net.Dialer{
		Timeout: dialTimeout, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return p
}

// get returns an idle connection that is still usable, or a new one.
func (p *Pool) get(ctx context.Context, key poolKey, reuse bool) (*upstreamConn, error) {
	for reuse {
		c := p.pop(key)
		if c == nil {
			break
		}
		if time.Now().Before(c.usableUntil) && c.isIdle() {
			return c, nil
		}
		_ = c.nc.Close()
	}
	p.Dials.Add(1)
	nc, err := p.dialer.DialContext(ctx, "tcp", key.address)
	if err != nil {
		return nil, errors.Annotate(ErrUnreachable, err.Error())
	}
	return newUpstreamConn(nc), nil
}

func (p *Pool) pop(key poolKey) *upstreamConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[key]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[key] = conns[:len(conns)-1]
	return c
}

// put keeps a connection for later requests.
func (p *Pool) put(key poolKey, c *upstreamConn) {
	c.fresh = false
	// The deadline of the last request would make the check of the idle connection fail once it has passed.
	_ = c.nc.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[key]) >= maxIdlePerUpstream {
		_ = c.nc.Close()
		return
	}
	p.idle[key] = append(p.idle[key], c)
}

// CloseUpstream closes the idle connections to an upstream that is gone, or that may have lost the
// state of its connections.
func (p *Pool) CloseUpstream(upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, conns := range p.idle {
		if key.upstream == upstream {
			closeAll(conns)
			delete(p.idle, key)
		}
	}
}

// CloseExpired closes the idle connections that are no longer usable.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.usableUntil) {
				kept = append(kept, c)
			} else {
				_ = c.nc.Close()
			}
		}
		p.idle[key] = kept
		if len(kept) == 0 {
			delete(p.idle, key)
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, conns := range p.idle {
		closeAll(conns)
		delete(p.idle, key)
	}
}

func closeAll(conns []*upstreamConn) {
	for _, c := range conns {
		_ = c.nc.Close()
	}
}
