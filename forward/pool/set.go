package pool

import (
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Class selects the connections that an attempt may use.
type Class int

const (
	// Reuse takes an idle connection if there is one. On a connection that
	// breaks before the response the transport may send the request again.
	Reuse Class = iota
	// Fresh opens a connection for the one request.
	Fresh
)

// Set holds the connections to all upstreams. It is safe for concurrent use.
type Set struct {
	options Options
	mu      sync.RWMutex
	pools   map[poolKey]*upstreamPool
}

type poolKey struct{ name, address string }

// NewSet returns an empty set.
func NewSet(o Options) *Set {
	return &Set{options: o.withDefaults(), pools: map[poolKey]*upstreamPool{}}
}

// RoundTrip sends the request to the upstream and returns the head of the
// response. The request must have no GetBody. use follows the connection.
func (s *Set) RoundTrip(name, address string, class Class, req *http.Request, use *Use) (*http.Response, error) {
	p := s.pool(poolKey{name, address})
	var last *conn
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				last = c
				use.got(c, p.taken(c))
			}
		},
		PutIdleConn: func(err error) {
			if err == nil && last != nil {
				p.idle(last)
			}
		},
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	if class == Fresh {
		return p.fresh.RoundTrip(req)
	}
	return p.reuse.RoundTrip(req)
}

// CloseUpstream closes the idle connections to an upstream that left.
func (s *Set) CloseUpstream(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, p := range s.pools {
		if key.name == name {
			p.condemn(^uint64(0))
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
