package transport

import (
	"sync"

	"github.com/juju/errors"
)

// Peers holds one client per address. It is safe for concurrent use.
type Peers struct {
	security *Security

	mu      sync.Mutex
	clients map[string]*Client
}

// NewPeers returns an empty set whose clients use the given security settings.
func NewPeers(security *Security) *Peers {
	return &Peers{security: security, clients: map[string]*Client{}}
}

// Get returns the client of the address. It creates the client if there is none.
func (p *Peers) Get(address string) (*Client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if client, ok := p.clients[address]; ok {
		return client, nil
	}
	client, err := NewClient(address, p.security)
	if err != nil {
		return nil, errors.Trace(err)
	}
	p.clients[address] = client
	return client, nil
}

// Close closes and removes all clients.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, client := range p.clients {
		_ = client.Close()
		delete(p.clients, address)
	}
}
