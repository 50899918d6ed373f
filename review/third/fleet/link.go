package fleet

import (
	"io"
	"net"
	"sync"
	"time"
)

// roundTrip is that between two regions of the deployment.
const roundTrip = 110 * time.Millisecond

// Link is the way of one caller to a machine that stands still for a while. What a machine has not acknowledged is sent to it
// again when it goes on, one segment after the other: the end of a connection arrives a round trip after the data.
type Link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	thawn chan struct{}
}

// NewLink returns a link to an address. The machine does not stand still yet.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, thawn: make(chan struct{})}
	close(l.thawn)
	go l.serve()
	return l, nil
}

// Address returns the address at which callers use the link.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Freeze is called when the machine stands still, Thaw when it goes on.
func (l *Link) Freeze() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.thawn = make(chan struct{})
}

// Thaw ends a time that began with Freeze.
func (l *Link) Thaw() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.thawn)
}

func (l *Link) serve() {
	for {
		caller, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.pass(caller)
	}
}

func (l *Link) pass(caller net.Conn) {
	defer func() { _ = caller.Close() }()
	machine, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	go func() {
		_, _ = io.Copy(caller, machine)
		_ = caller.Close()
	}()
	_, _ = io.Copy(machine, caller)
	l.mu.Lock()
	thawn := l.thawn
	l.mu.Unlock()
	<-thawn
	time.Sleep(roundTrip)
	_ = machine.Close()
}
