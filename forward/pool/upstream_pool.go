package pool

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/juju/errors"
)

// upstreamPool holds the connections to one upstream.
type upstreamPool struct {
	name, address string
	options       Options
	reuse, fresh  *http.Transport

	mu        sync.Mutex
	opened    uint64
	condemned uint64 // order of the youngest condemned connection
	open      map[*conn]struct{}
}

func newUpstreamPool(name, address string, o Options) *upstreamPool {
	p := &upstreamPool{name: name, address: address, options: o, open: map[*conn]struct{}{}}
	p.reuse = p.transport(false)
	p.fresh = p.transport(true)
	return p
}

// transport returns a transport without proxy, compression or HTTP/2. With
// oneRequest every request has its own connection, on which the transport
// never sends a request again by itself.
func (p *upstreamPool) transport(oneRequest bool) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            p.dial,
		DisableCompression:     true,
		DisableKeepAlives:      oneRequest,
		MaxIdleConnsPerHost:    p.options.MaxIdlePerUpstream,
		IdleConnTimeout:        p.options.IdleTimeout,
		MaxResponseHeaderBytes: p.options.MaxResponseHeaderBytes,
		Protocols:              protocols,
	}
}

func (p *upstreamPool) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	if !p.options.Permits.AcquireConn(p.name) {
		return nil, ErrNoPermit
	}
	d := net.Dialer{Timeout: p.options.DialTimeout}
	raw, err := d.DialContext(ctx, network, p.address)
	if err != nil {
		p.options.Permits.ReleaseConn(p.name)
		return nil, errors.Trace(err)
	}
	return p.track(raw), nil
}

func (p *upstreamPool) track(raw net.Conn) *conn {
	c := &conn{Conn: raw, owner: p}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opened++
	c.order = p.opened
	p.open[c] = struct{}{}
	return c
}

func (p *upstreamPool) forget(c *conn) {
	p.mu.Lock()
	_, known := p.open[c]
	delete(p.open, c)
	p.mu.Unlock()
	if known {
		p.options.Permits.ReleaseConn(p.name)
	}
}

// taken notes the start of a use and returns the order of the youngest connection.
func (p *upstreamPool) taken(c *conn) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.uses++
	return p.opened
}

// idle notes the end of a use. The next use may have been noted already, since
// the transport offers the connection before it calls the hook.
func (p *upstreamPool) idle(c *conn) {
	p.mu.Lock()
	c.uses--
	condemned := c.uses == 0 && c.order <= p.condemned
	p.mu.Unlock()
	if condemned {
		_ = c.Close() // nothing can be lost on an idle connection
	}
}

func (p *upstreamPool) condemn(order uint64) {
	p.mu.Lock()
	p.condemned = max(p.condemned, order)
	var idle []*conn
	for c := range p.open {
		if c.order <= p.condemned && c.uses == 0 {
			idle = append(idle, c)
		}
	}
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close() // nothing can be lost on an idle connection
	}
}

func (p *upstreamPool) close() {
	p.reuse.CloseIdleConnections()
	p.fresh.CloseIdleConnections()
}
