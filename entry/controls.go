package entry

import (
	"slices"
	"sync"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/trace"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/transport"
)

// dialer creates clients of control daemons.
type dialer interface {
	dial(address string) (apipb.DRPCControlClient, error)
}

// peerDialer creates clients that call over the network.
type peerDialer struct {
	peers  *transport.Peers
	tracer trace.Tracer
}

func (d peerDialer) dial(address string) (apipb.DRPCControlClient, error) {
	client, err := d.peers.Get(address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return apipb.NewDRPCControlClient(transport.NewTracedConn(client, d.tracer)), nil
}

// controls holds the addresses of the control daemons, configured and learned, and
// selects the one to call. It is safe for concurrent use.
type controls struct {
	dialer dialer

	mu sync.Mutex
	// seeds holds the addresses from the settings.
	seeds     []string
	addresses []string
	next      int
	leader    string
}

// newControls selects the first address by start, a hash of the VM's name, so that the
// fleet spreads over the control daemons.
func newControls(seeds []string, start uint64, d dialer) *controls {
	c := &controls{dialer: d, seeds: seeds, addresses: slices.Clone(seeds)}
	if len(seeds) > 0 {
		c.next = int(start % uint64(len(seeds)))
	}
	return c
}

// current returns a client of the selected control daemon and its address.
func (c *controls) current() (apipb.DRPCControlClient, string, error) {
	c.mu.Lock()
	if len(c.addresses) == 0 {
		c.mu.Unlock()
		return nil, "", errors.Trace(ErrNoControl)
	}
	address := c.addresses[c.next%len(c.addresses)]
	c.mu.Unlock()
	client, err := c.dialer.dial(address)
	return client, address, errors.Trace(err)
}

// rotate selects the next control daemon after failed, unless another goroutine has
// already done so.
func (c *controls) rotate(failed string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.addresses); n > 0 && c.addresses[c.next%n] == failed {
		c.next = (c.next + 1) % n
	}
}

// leaderClient returns a client of the leader, or of the selected control daemon if
// the leader is not known.
func (c *controls) leaderClient() (apipb.DRPCControlClient, string, error) {
	c.mu.Lock()
	leader := c.leader
	c.mu.Unlock()
	if leader == "" {
		return c.current()
	}
	client, err := c.dialer.dial(leader)
	return client, leader, errors.Trace(err)
}

// leaderKnown reports whether the address of the leader is known.
func (c *controls) leaderKnown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader != ""
}

// dropLeader forgets the leader after a failure at the address, and rotates if that
// daemon is the selected one.
func (c *controls) dropLeader(address string) {
	c.setLeader("")
	c.rotate(address)
}

// setLeader records the address of the leader; "" means unknown.
func (c *controls) setLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}

// updateMembers replaces the learned addresses by those of the group. The seeds are
// kept, since the list may come from a partitioned daemon.
func (c *controls) updateMembers(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range addresses {
		if !slices.Contains(c.addresses, a) {
			c.addresses = append(c.addresses, a)
		}
	}
	c.removeFormerMembers(addresses)
}

// setSeeds replaces the addresses from the settings. Learned addresses are kept.
func (c *controls) setSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = slices.Clone(seeds)
	for _, a := range seeds {
		if !slices.Contains(c.addresses, a) {
			c.addresses = append(c.addresses, a)
		}
	}
}

// removeFormerMembers drops learned addresses that are not in the group any more and
// keeps the selected daemon selected.
func (c *controls) removeFormerMembers(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	inUse := ""
	if len(c.addresses) > 0 {
		inUse = c.addresses[c.next%len(c.addresses)]
	}
	c.addresses = slices.DeleteFunc(c.addresses, func(a string) bool {
		return !slices.Contains(addresses, a) && !slices.Contains(c.seeds, a)
	})
	if at := slices.Index(c.addresses, inUse); at >= 0 {
		c.next = at
	}
}
