package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/headlimit"
	"pistachiomount.example/pistachiomount/memlimit"
)

// conn is one connection of a caller. It reads requests ahead while earlier ones are answered, which
// also detects at once that the caller has gone.
type conn struct {
	server    *Server
	nc        net.Conn
	headLimit *headlimit.Reader
	br        *bufio.Reader
	ctx       context.Context
	cancel    context.CancelCauseFunc

	// reading is set while a request is being read.
	reading atomic.Bool
	// finishing is set once no further request is read.
	finishing atomic.Bool
	opened    time.Time
	// answeredAt is when the last response was written, as a duration since opened.
	answeredAt atomic.Int64

	mu sync.Mutex
	// pending is the number of requests not answered yet.
	pending int
	// ended is set once no further request is accepted.
	ended bool
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, nc: nc, opened: time.Now(), headLimit: headlimit.NewReader(nc)}
	c.br = bufio.NewReaderSize(c.headLimit, 4<<10)
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	return c
}

// serve reads requests until the connection ends. Each request is handled in its own goroutine, which
// writes the response after the response to the previous request.
func (c *conn) serve() {
	previousDone := make(chan struct{})
	close(previousDone)
	for {
		request, length, err := c.readRequest(previousDone)
		if err != nil {
			c.finish(previousDone, err)
			return
		}
		if !c.startRequest() {
			releaseBody(request)
			c.finish(previousDone, errIdle) // the last response announced the end of the connection
			return
		}
		ready, done := previousDone, make(chan struct{})
		previousDone = done
		body := newRequest(request, length)
		bodyDone := make(chan struct{})
		go func() {
			defer close(done)
			defer c.endRequest()
			response := c.handle(body, bodyDone, request)
			<-ready
			c.writeResponse(request, response)
		}()
		if body.Rest != nil {
			<-bodyDone // the next request starts after the body
		}
		if request.Close {
			c.finish(previousDone, io.EOF)
			return
		}
	}
}

// handle runs the handler and closes bodyDone once a long body is no longer read.
func (c *conn) handle(request *Request, bodyDone chan struct{}, raw *http.Request) *Response {
	defer close(bodyDone)
	response := c.server.handler.Serve(c.ctx, request)
	request.Body = nil
	releaseBody(raw)
	if request.Rest != nil {
		// The unread rest of the body would be parsed as the next request.
		response.Close = true
		raw.Close = true
	}
	return response
}

// startRequest counts a new request. It returns false if the connection has ended.
func (c *conn) startRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.pending > 0 && c.server.draining.Load() {
		return false
	}
	c.pending++
	return true
}

func (c *conn) endRequest() {
	c.answeredAt.Store(int64(time.Since(c.opened)))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
}

// state returns the number of pending requests and whether the connection has ended.
func (c *conn) state() (pending int, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending, c.ended
}

// endIfLast ends the connection if at most one request is pending, whose response is about to be sent. It reports
// whether the connection has ended, which it also has while its last response is sent.
func (c *conn) endIfLast() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending <= 1 {
		c.ended = true
	}
	return c.ended
}

// endIfIdle ends the connection if no request is pending. It reports whether none is.
func (c *conn) endIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 {
		c.ended = true
	}
	return c.pending == 0
}

// end lets the connection accept no further request.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
}

// readRequest reads one request. The remainder of a long body is left on the connection. earlierSent is
// closed once all responses to earlier requests are sent.
func (c *conn) readRequest(earlierSent <-chan struct{}) (*http.Request, int64, error) {
	if err := c.awaitFirstByte(); err != nil {
		return nil, 0, err
	}
	c.reading.Store(true)
	defer c.reading.Store(false)
	limits := c.server.limits.Load()
	_ = c.nc.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.headLimit.Limit(limits.MaxHeaderBytes)
	request, err := http.ReadRequest(c.br)
	c.headLimit.Lift()
	if err != nil {
		return nil, 0, err
	}
	if err := validate(request, limits); err != nil {
		return nil, 0, err
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(bodyTimeout))
	return request, request.ContentLength, c.readBody(request, limits, earlierSent)
}

// awaitFirstByte waits for the next request until the idle timeout, counted from the last response.
func (c *conn) awaitFirstByte() error {
	for {
		for pending, _ := c.state(); pending >= maxPipelined; pending, _ = c.state() {
			time.Sleep(pipelinePollInterval)
		}
		idle := c.server.limits.Load().IdleTimeout
		_ = c.nc.SetReadDeadline(time.Now().Add(idle))
		_, err := c.br.Peek(1)
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		since := time.Since(c.opened) - time.Duration(c.answeredAt.Load())
		if pending, ended := c.state(); ended || pending == 0 && since >= idle {
			return errIdle
		}
	}
}

// pipelinePollInterval is how often a connection with maxPipelined pending requests checks whether it
// may read on.
const pipelinePollInterval = 5 * time.Millisecond

// errIdle ends a connection that was idle for too long.
const errIdle = errors.ConstError("connection idle for too long")

// rejectedError rejects a request that is not passed to the handler.
type rejectedError struct {
	status int
	reason string
}

func (e *rejectedError) Error() string { return e.reason }

func validate(r *http.Request, limits *Limits) error {
	switch {
	case r.Method == http.MethodConnect, !strings.HasPrefix(r.RequestURI, "/"):
		return &rejectedError{http.StatusBadRequest, "request target must be a path"}
	case r.ContentLength > limits.MaxBodyBytes:
		return &rejectedError{http.StatusRequestEntityTooLarge, "request body too large"}
	}
	return nil
}

// readBody reads the body into memory, or only its beginning if it is long.
func (c *conn) readBody(r *http.Request, limits *Limits, earlierSent <-chan struct{}) error {
	if r.ContentLength == 0 {
		return nil
	}
	body := io.Reader(r.Body)
	if expectsContinue(r) {
		body = &stoppingReader{Reader: body, interim: c.startInterim(earlierSent)}
	}
	buffered, err := c.bufferBody(body)
	if err != nil {
		return err
	}
	if int64(len(buffered.prefix)) > limits.MaxBodyBytes {
		buffered.memory.Release()
		return &rejectedError{http.StatusRequestEntityTooLarge, errBodyTooLarge.Error()}
	}
	if !buffered.complete {
		buffered.rest = &restReader{nc: c.nc, r: r.Body, left: limits.MaxBodyBytes - int64(len(buffered.prefix))}
	}
	r.Body = buffered
	return nil
}

// bufferBody reads a body up to one byte more than maxBufferedBody, or less if the budget of the server is
// used up. The buffer of the first initialBodyBytes is not part of the budget.
func (c *conn) bufferBody(body io.Reader) (*bufferedBody, error) {
	b := &bufferedBody{prefix: make([]byte, 0, initialBodyBytes), memory: memlimit.NewReservation(c.server.buffers)}
	for {
		n, err := body.Read(b.prefix[len(b.prefix):cap(b.prefix)])
		b.prefix = b.prefix[:len(b.prefix)+n]
		switch {
		case err == io.EOF:
			b.complete = true
			return b, nil
		case err != nil:
			b.memory.Release()
			return nil, err
		case len(b.prefix) > maxBufferedBody, len(b.prefix) == cap(b.prefix) && !b.grow():
			return b, nil
		}
	}
}
