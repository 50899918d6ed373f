package e2e_test

import (
	"io"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// faultRule describes the faults that a forwarder injects.
type faultRule struct {
	// dropRequests and dropResponses discard the bytes of one direction and leave
	// the connection open.
	dropRequests, dropResponses bool
	// delay is added before each chunk of a response.
	delay time.Duration
	// closeAfter, if above 0, closes a connection after that many bytes of responses.
	closeAfter int
	// refuse closes a connection before its next bytes.
	refuse bool
}

var (
	dropAll = faultRule{dropRequests: true, dropResponses: true}
	// refuseUnknown applies to a connection whose client cannot be found while rules depend on
	// the client. Passing its bytes would let a partition leak.
	refuseUnknown = faultRule{refuse: true}
)

// forwarder is a TCP proxy between two processes. Rules can depend on the
// process that opened the connection.
type forwarder struct {
	t        *testing.T
	listener net.Listener

	mu     sync.Mutex
	target string
	rules  map[*process]faultRule // the key nil holds the default rule
	conns  map[*forwardedConn]bool
}

// forwardedConn is one forwarded connection.
type forwardedConn struct {
	f                 *forwarder
	client            net.Conn
	upstream          net.Conn
	findClientProcess func() *process
	clientProcess     atomic.Pointer[process]
	dropped           bool // guarded by f.mu
	responseBytes     int
}

// newForwarder listens on a free port. The target can be set later; until then
// connections are closed.
func newForwarder(t *testing.T, target string) *forwarder {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{t: t, listener: listener, target: target, rules: map[*process]faultRule{}, conns: map[*forwardedConn]bool{}}
	t.Cleanup(func() {
		_ = listener.Close()
		f.closeConns()
	})
	go f.accept()
	return f
}

func (f *forwarder) address() string { return f.listener.Addr().String() }

func (f *forwarder) setTarget(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.target = target
}

// setRule sets the rule for connections of a process, including open ones; nil
// sets the default rule.
func (f *forwarder) setRule(client *process, r faultRule) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rules[client] = r
}

// dropOpenConns drops all further bytes on the open connections; new ones work.
func (f *forwarder) dropOpenConns() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for l := range f.conns {
		l.dropped = true
	}
}

// closeConns closes all open connections.
func (f *forwarder) closeConns() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for l := range f.conns {
		l.close()
	}
}

func (f *forwarder) accept() {
	for {
		client, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.forward(client)
	}
}

func (f *forwarder) forward(client net.Conn) {
	f.mu.Lock()
	target := f.target
	f.mu.Unlock()
	l := &forwardedConn{f: f, client: client}
	upstream, err := net.DialTimeout("tcp", target, conditionTimeout)
	if err != nil {
		_ = client.Close()
		return
	}
	l.upstream = upstream
	l.findClientProcess = func() *process {
		// An unknown process is looked up again: a list of open files can miss one.
		if known := l.clientProcess.Load(); known != nil {
			return known
		}
		found := processOfConn(f.t, client)
		l.clientProcess.Store(found)
		return found
	}
	f.mu.Lock()
	f.conns[l] = true
	f.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { l.copyDirection(l.upstream, l.client, false) })
	directions.Go(func() { l.copyDirection(l.client, l.upstream, true) })
	directions.Wait()
	f.mu.Lock()
	delete(f.conns, l)
	f.mu.Unlock()
}

// close is safe to call more than once.
func (l *forwardedConn) close() {
	_ = l.client.Close()
	if l.upstream != nil {
		_ = l.upstream.Close()
	}
}

// currentRule returns the rule in force. The process that connected is looked up
// only if rules depend on it, because that lists the open files of processes.
func (l *forwardedConn) currentRule() faultRule {
	l.f.mu.Lock()
	rules, dropped := maps.Clone(l.f.rules), l.dropped
	l.f.mu.Unlock()
	defaultRule := rules[nil]
	delete(rules, nil)
	switch {
	case dropped:
		return dropAll
	case len(rules) == 0:
		return defaultRule
	}
	client := l.findClientProcess()
	if client == nil {
		return refuseUnknown
	}
	if specific, ok := rules[client]; ok {
		return specific
	}
	return defaultRule
}

// copyDirection forwards one direction until its end of stream.
func (l *forwardedConn) copyDirection(dst io.Writer, src io.Reader, toClient bool) {
	defer l.close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		if n > 0 && !l.forwardPiece(dst, buffer[:n], toClient) {
			return
		}
		if err != nil {
			if r := l.currentRule(); r.dropRequests || r.dropResponses {
				delayClose(l)
			}
			return
		}
	}
}

// delayClose hides the close of one side from the other, as a partition does, until
// the rule is removed or conditionTimeout expires.
func delayClose(l *forwardedConn) {
	for end := time.Now().Add(conditionTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r := l.currentRule(); !r.dropRequests && !r.dropResponses {
			return
		}
	}
}

// forwardPiece forwards one chunk according to the rule; false closes the connection.
func (l *forwardedConn) forwardPiece(dst io.Writer, piece []byte, toClient bool) bool {
	r := l.currentRule()
	if r.refuse {
		return false
	}
	if toClient && r.dropResponses || !toClient && r.dropRequests {
		return true
	}
	if toClient {
		time.Sleep(r.delay)
		if r.closeAfter > 0 && l.responseBytes+len(piece) > r.closeAfter {
			_, _ = dst.Write(piece[:max(0, r.closeAfter-l.responseBytes)])
			return false
		}
		l.responseBytes += len(piece)
	}
	_, err := dst.Write(piece)
	return err == nil
}
