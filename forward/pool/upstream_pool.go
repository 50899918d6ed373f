package pool

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/responsehead"
)

// upstreamPool holds the connections to one upstream.
type upstreamPool struct {
	name, address     string
	options           Options
	shared, dedicated *http.Transport

	mu         sync.Mutex
	lastSeq    uint64
	retiredSeq uint64 // connections up to this number are closed once idle
	open       map[*conn]struct{}
}

func newUpstreamPool(name, address string, o Options) *upstreamPool {
	p := &upstreamPool{name: name, address: address, options: o, open: map[*conn]struct{}{}}
	p.shared = p.transport(false)
	p.dedicated = p.transport(true)
	return p
}

// transport returns an HTTP/1 transport without proxy or compression. With oneRequest
// every request has its own connection, on which the transport never retries a request.
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

func (p *upstreamPool) transportFor(policy ConnPolicy) *http.Transport {
	if policy == DedicatedConn {
		return p.dedicated
	}
	return p.shared
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
	return p.register(raw), nil
}

func (p *upstreamPool) register(raw net.Conn) *conn {
	c := &conn{Conn: responsehead.NewConn(raw), pool: p}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastSeq++
	c.seq = p.lastSeq
	p.open[c] = struct{}{}
	return c
}

func (p *upstreamPool) remove(c *conn) {
	p.mu.Lock()
	_, known := p.open[c]
	delete(p.open, c)
	p.mu.Unlock()
	if known {
		p.options.Permits.ReleaseConn(p.name)
	}
}

// beginUse records that a request took the connection, whose next response is checked, and returns
// the number of the newest connection.
func (p *upstreamPool) beginUse(c *conn) uint64 {
	c.ExpectResponse()
	p.mu.Lock()
	defer p.mu.Unlock()
	c.uses++
	return p.lastSeq
}

// endUse records that a request returned the connection. The next use may have been
// recorded already, because the transport makes the connection available before it calls
// the hook.
func (p *upstreamPool) endUse(c *conn) {
	p.mu.Lock()
	c.uses--
	retired := c.uses == 0 && c.seq <= p.retiredSeq
	p.mu.Unlock()
	if retired {
		_ = c.Close() // an idle connection carries no request
	}
}

func (p *upstreamPool) retire(seq uint64) {
	p.mu.Lock()
	p.retiredSeq = max(p.retiredSeq, seq)
	var idle []*conn
	for c := range p.open {
		if c.seq <= p.retiredSeq && c.uses == 0 {
			idle = append(idle, c)
		}
	}
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close() // an idle connection carries no request
	}
}

func (p *upstreamPool) close() {
	p.shared.CloseIdleConnections()
	p.dedicated.CloseIdleConnections()
}
