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

// rule is what a forwarder does with bytes.
type rule struct {
	// dropRequests and dropAnswers discard the bytes of one direction and leave
	// the connection open.
	dropRequests, dropAnswers bool
	// delay is added before each piece of an answer.
	delay time.Duration
	// cutAfter, if above 0, closes a connection after that many bytes of answers.
	cutAfter int
}

var silence = rule{dropRequests: true, dropAnswers: true}

// forwarder is a TCP forwarder between two processes. Rules can differ by the
// process that connects.
type forwarder struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	rules  map[*process]rule // nil is the rule of all other processes
	links  map[*link]bool
}

// link is one forwarded connection.
type link struct {
	f        *forwarder
	client   net.Conn
	upstream net.Conn
	from     func() *process
	owner    atomic.Pointer[process]
	silent   bool // guarded by f.mu
	answered int
}

// newForwarder listens on a free port. The target can be set later; until then
// connections are closed.
func newForwarder(t *testing.T, target string) *forwarder {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{listener: listener, target: target, rules: map[*process]rule{}, links: map[*link]bool{}}
	t.Cleanup(func() {
		_ = listener.Close()
		f.cut()
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

// set sets the rule for connections of a process, those that are open included;
// nil sets it for all processes without a rule of their own.
func (f *forwarder) set(from *process, r rule) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rules[from] = r
}

// silenceOpen makes the open connections silent for ever; new ones work.
func (f *forwarder) silenceOpen() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for l := range f.links {
		l.silent = true
	}
}

// cut closes all open connections.
func (f *forwarder) cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for l := range f.links {
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
	l := &link{f: f, client: client}
	upstream, err := net.DialTimeout("tcp", target, patience)
	if err != nil {
		_ = client.Close()
		return
	}
	l.upstream = upstream
	l.from = func() *process {
		// Not kept while it is not known: a read of the socket table can miss it.
		if known := l.owner.Load(); known != nil {
			return known
		}
		found := ownerOf(client.RemoteAddr())
		l.owner.Store(found)
		return found
	}
	f.mu.Lock()
	f.links[l] = true
	f.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.copy(l.upstream, l.client, false) })
	both.Go(func() { l.copy(l.client, l.upstream, true) })
	both.Wait()
	f.mu.Lock()
	delete(f.links, l)
	f.mu.Unlock()
}

// close is safe to call more than once.
func (l *link) close() {
	_ = l.client.Close()
	if l.upstream != nil {
		_ = l.upstream.Close()
	}
}

// rule returns the rule in force. The process that connected is only looked up
// where rules differ by it, since that reads the whole socket table.
func (l *link) rule() rule {
	l.f.mu.Lock()
	rules, silent := maps.Clone(l.f.rules), l.silent
	l.f.mu.Unlock()
	general := rules[nil]
	delete(rules, nil)
	switch {
	case silent:
		return silence
	case len(rules) == 0:
		return general
	}
	if own, ok := rules[l.from()]; ok {
		return own
	}
	return general
}

// copy forwards one direction until its end.
func (l *link) copy(dst io.Writer, src io.Reader, answers bool) {
	defer l.close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		if n > 0 && !l.pass(dst, buffer[:n], answers) {
			return
		}
		if err != nil {
			if r := l.rule(); r.dropRequests || r.dropAnswers {
				continueSilently(l)
			}
			return
		}
	}
}

// continueSilently keeps the other side from learning that this side has closed,
// as a partition does, until the rule ends or the test does.
func continueSilently(l *link) {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r := l.rule(); !r.dropRequests && !r.dropAnswers {
			return
		}
	}
}

// pass forwards one piece as the rule says; false ends the connection.
func (l *link) pass(dst io.Writer, piece []byte, answers bool) bool {
	r := l.rule()
	if answers && r.dropAnswers || !answers && r.dropRequests {
		return true
	}
	if answers {
		time.Sleep(r.delay)
		if r.cutAfter > 0 && l.answered+len(piece) > r.cutAfter {
			_, _ = dst.Write(piece[:max(0, r.cutAfter-l.answered)])
			return false
		}
		l.answered += len(piece)
	}
	_, err := dst.Write(piece)
	return err == nil
}
