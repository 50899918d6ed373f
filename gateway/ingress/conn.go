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
)

// conn is one connection of a caller. Its reader runs ahead of the answers, which
// also shows at once when the caller goes away.
type conn struct {
	server *Server
	nc     net.Conn
	budget *budgetReader
	br     *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc

	// reading is set while a request is being read.
	reading atomic.Bool
	opened  time.Time
	// answeredAt is when the last answer was written, counted from opened.
	answeredAt atomic.Int64

	mu sync.Mutex
	// pending counts requests that are not answered yet.
	pending int
	// ended is set once no further request will be handled.
	ended bool
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, nc: nc, opened: time.Now(), budget: &budgetReader{r: nc}}
	c.br = bufio.NewReaderSize(c.budget, 4<<10)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// serve reads requests until the connection ends. Each one is handled on its own
// goroutine and waits with its answer for the one before.
func (c *conn) serve() {
	turn := make(chan struct{})
	close(turn)
	for {
		request, length, err := c.next()
		if err != nil {
			c.finish(turn, err)
			return
		}
		if !c.begin() {
			c.finish(turn, errIdle) // the last answer said that the connection ends
			return
		}
		before, next := turn, make(chan struct{})
		turn = next
		body := bodyOf(request, length)
		bodyDone := make(chan struct{})
		go func() {
			defer close(next)
			defer c.answered()
			response := c.handle(body, bodyDone, request)
			<-before
			c.write(request, response)
		}()
		if body.Rest != nil {
			<-bodyDone // the next request begins where the body ends
		}
		if request.Close {
			c.finish(turn, io.EOF)
			return
		}
	}
}

// handle runs the handler and reports when a long body is not read any more.
func (c *conn) handle(request *Request, bodyDone chan struct{}, raw *http.Request) *Response {
	defer close(bodyDone)
	response := c.server.handler.Serve(c.ctx, request)
	if request.Rest != nil {
		// What is left of the body would be taken for the next request.
		response.Close = true
		raw.Close = true
	}
	return response
}

// begin counts a request in, unless the connection has ended.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.pending++
	return true
}

func (c *conn) answered() {
	c.answeredAt.Store(int64(time.Since(c.opened)))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
}

// state returns the number of requests under way and whether the connection has ended.
func (c *conn) state() (pending int, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending, c.ended
}

// endIf ends the connection if at most the given number of requests is under way.
func (c *conn) endIf(pending int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending <= pending {
		c.ended = true
	}
	return c.ended
}

// next reads one request. A long body is left in the connection.
func (c *conn) next() (*http.Request, int64, error) {
	if err := c.awaitFirstByte(); err != nil {
		return nil, 0, err
	}
	c.reading.Store(true)
	defer c.reading.Store(false)
	limits := c.server.limits.Load()
	_ = c.nc.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.budget.left, c.budget.active = limits.MaxHeaderBytes, true
	request, err := http.ReadRequest(c.br)
	c.budget.active = false
	if err != nil {
		return nil, 0, err
	}
	if err := check(request, limits); err != nil {
		return nil, 0, err
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(bodyTimeout))
	return request, request.ContentLength, c.readBody(request, limits)
}

// awaitFirstByte waits for the next request for as long as the connection may be
// idle, counted from the last answer.
func (c *conn) awaitFirstByte() error {
	for {
		for pending, _ := c.state(); pending >= maxAhead; pending, _ = c.state() {
			time.Sleep(aheadPause)
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

// aheadPause is how often a connection with too many requests ahead looks again.
const aheadPause = 5 * time.Millisecond

// errIdle ends a connection that has been idle for too long.
const errIdle = errors.ConstError("the connection was idle for too long")

// refusedError is a request that is answered without being handled.
type refusedError struct {
	status int
	reason string
}

func (e *refusedError) Error() string { return e.reason }

func check(r *http.Request, limits *Limits) error {
	switch {
	case r.Method == http.MethodConnect, !strings.HasPrefix(r.RequestURI, "/"):
		return &refusedError{http.StatusBadRequest, "the request target must be a path"}
	case r.ContentLength > limits.MaxBodyBytes:
		return &refusedError{http.StatusRequestEntityTooLarge, "the body is larger than allowed"}
	}
	return nil
}

// readBody replaces the body by its bytes, or by their beginning and the rest.
func (c *conn) readBody(r *http.Request, limits *Limits) error {
	if r.ContentLength == 0 {
		return nil
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBuffered+1))
	if err != nil {
		return err
	}
	if int64(len(body)) > limits.MaxBodyBytes {
		return &refusedError{http.StatusRequestEntityTooLarge, errBodyTooLarge.Error()}
	}
	begun := &begunBody{begin: body}
	if len(body) > maxBuffered {
		begun.rest = &restReader{nc: c.nc, r: r.Body, left: limits.MaxBodyBytes - int64(len(body))}
	}
	r.Body = begun
	return nil
}

// finish waits for the answers that are due, unless the caller has gone, and
// closes the connection.
func (c *conn) finish(turn <-chan struct{}, err error) {
	var refused *refusedError
	switch {
	case errors.As(err, &refused):
		<-turn
		c.write(nil, refusal(refused.status))
	case errors.Is(err, errHeaderTooLarge):
		<-turn
		c.write(nil, refusal(http.StatusRequestHeaderFieldsTooLarge))
	case errors.Is(err, io.EOF) && c.requestedClose(turn), errors.Is(err, errIdle):
	case isProtocolError(err):
		<-turn
		c.write(nil, refusal(http.StatusBadRequest))
	default:
		c.cancel() // the caller has gone
	}
	<-turn
	c.cancel()
	if errors.Is(err, errIdle) && c.br.Buffered() == 0 && !c.answeredLately() {
		_ = c.nc.Close()
		return
	}
	c.linger()
}

// answeredLately reports whether an answer may still be on its way to the caller.
func (c *conn) answeredLately() bool {
	return time.Since(c.opened)-time.Duration(c.answeredAt.Load()) < lingerTimeout
}

// requestedClose waits for the last answer if the end of the connection was asked
// for by a request; the caller may still go away before.
func (c *conn) requestedClose(turn <-chan struct{}) bool {
	if pending, _ := c.state(); pending == 0 {
		return true
	}
	gone := make(chan struct{})
	go func() {
		_ = c.nc.SetReadDeadline(time.Time{})
		if _, err := c.br.Peek(1); err != nil {
			close(gone)
		}
	}()
	select {
	case <-turn:
		return true
	case <-gone:
		return false
	}
}

func refusal(status int) *Response {
	return &Response{Status: status, Header: http.Header{}, Close: true}
}

func isProtocolError(err error) bool {
	var netErr net.Error
	return !errors.As(err, &netErr) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) &&
		!errors.Is(err, net.ErrClosed)
}

// closeIfIdle ends the connection if no request is under way.
func (c *conn) closeIfIdle() {
	if !c.reading.Load() && c.endIf(0) {
		_ = c.nc.SetReadDeadline(time.Now())
	}
}

// linger closes the sending side and reads until the caller closes too.
func (c *conn) linger() {
	defer func() { _ = c.nc.Close() }()
	tcp, ok := c.nc.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.nc, lingerBytes)
}
