package pool

import (
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/responsehead"
)

// ConnPolicy selects the connections that an attempt may use.
type ConnPolicy int

const (
	// ReuseConn takes an idle connection if there is one. If the connection breaks before
	// the response, the transport may send the request again.
	ReuseConn ConnPolicy = iota
	// DedicatedConn opens a new connection for this request only.
	DedicatedConn
)

// Set holds the connections to all upstreams. It is safe for concurrent use.
type Set struct {
	options Options
	mu      sync.RWMutex
	pools   map[poolKey]*upstreamPool
}

type poolKey struct{ name, address string }

// NewSet returns a Set without connections.
func NewSet(o Options) *Set {
	return &Set{options: o.withDefaults(), pools: map[poolKey]*upstreamPool{}}
}

// RoundTrip sends the request to the upstream and returns the response, whose body is
// still to be read. The request must have no GetBody. The tracker records the connections
// that the request uses.
func (s *Set) RoundTrip(name, address string, policy ConnPolicy, req *http.Request, tracker *ConnTracker) (*http.Response, error) {
	p := s.pool(poolKey{name, address})
	var last *conn
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				last = c
				tracker.setConn(c, p.beginUse(c))
				tracker.withhold(c)
			}
		},
		PutIdleConn: func(err error) {
			if err == nil && last != nil {
				p.endUse(last)
			}
		},
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err := p.transportFor(policy).RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if policy == DedicatedConn && last != nil {
		resp.Body = &dedicatedBody{ReadCloser: resp.Body, conn: last}
	}
	if err := responsehead.Check(resp); err != nil {
		return nil, errors.Trace(err)
	}
	return resp, nil
}

// CloseUpstream closes the idle connections to an upstream that was removed, and those in
// use once they become idle.
func (s *Set) CloseUpstream(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, p := range s.pools {
		if key.name == name {
			p.retire(^uint64(0))
			p.close()
			delete(s.pools, key)
		}
	}
}

// CloseIdle closes all idle connections.
func (s *Set) CloseIdle() {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, p := range s.pools {
		p.close()
	}
}

func (s *Set) pool(key poolKey) *upstreamPool {
	s.mu.RLock()
	p := s.pools[key]
	s.mu.RUnlock()
	if p != nil {
		return p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p = s.pools[key]; p == nil {
		p = newUpstreamPool(key.name, key.address, s.options)
		s.pools[key] = p
	}
	return p
}
