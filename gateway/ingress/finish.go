package ingress

import (
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/headlimit"
)

// finish waits for the outstanding responses, unless the caller has gone, and closes the connection.
func (c *conn) finish(previousDone <-chan struct{}, err error) {
	c.finishing.Store(true)
	if errors.Is(err, io.EOF) || errors.Is(err, os.ErrDeadlineExceeded) {
		err = c.awaitLastResponse(previousDone)
	}
	var rejected *rejectedError
	switch {
	case err == nil, errors.Is(err, errIdle):
	case errors.As(err, &rejected):
		<-previousDone
		c.writeResponse(nil, rejection(rejected.status))
	case errors.Is(err, headlimit.ErrTooLarge):
		<-previousDone
		c.writeResponse(nil, rejection(http.StatusRequestHeaderFieldsTooLarge))
	case isProtocolError(err):
		<-previousDone
		c.writeResponse(nil, rejection(http.StatusBadRequest))
	default:
		c.cancel(err) // the caller has gone
	}
	<-previousDone
	c.cancel(nil)
	if errors.Is(err, errIdle) && c.br.Buffered() == 0 && !c.answeredRecently() {
		_ = c.nc.Close()
		return
	}
	c.linger()
}

// answeredRecently reports whether a response may still be on its way to the caller.
func (c *conn) answeredRecently() bool {
	return time.Since(c.opened)-time.Duration(c.answeredAt.Load()) < lingerTimeout
}

// awaitLastResponse waits for the last response on a connection on which no further request is read. It returns
// the error of the connection if the caller goes away before. A read deadline, which only this server sets, says nothing
// about the caller.
func (c *conn) awaitLastResponse(lastDone <-chan struct{}) error {
	if pending, _ := c.state(); pending == 0 {
		return nil
	}
	gone := make(chan error, 1)
	go func() {
		_ = c.nc.SetReadDeadline(time.Time{})
		if _, err := c.br.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			gone <- err
		}
	}()
	select {
	case <-lastDone:
		return nil
	case err := <-gone:
		return err
	}
}

func rejection(status int) *Response {
	return &Response{Status: status, Header: http.Header{}, Close: true}
}

func isProtocolError(err error) bool {
	var netErr net.Error
	return !errors.As(err, &netErr) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) &&
		!errors.Is(err, net.ErrClosed)
}

// isNew reports whether the first request of the connection may still be on its way: it is sent with the
// connection.
func (c *conn) isNew() bool {
	_, ended := c.state()
	return !ended && c.answeredAt.Load() == 0 && time.Since(c.opened) < firstRequestTime
}

// closeIfIdle ends the connection if no request is being read or pending. One that is finishing ends by itself, and may
// need its read deadline until then.
func (c *conn) closeIfIdle() {
	if !c.finishing.Load() && !c.reading.Load() && !c.isNew() && c.endIfIdle() {
		_ = c.nc.SetReadDeadline(time.Now())
	}
}

// linger closes the sending side and discards input until the caller closes the connection.
func (c *conn) linger() {
	defer func() { _ = c.nc.Close() }()
	tcp, ok := c.nc.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.nc, maxLingerBytes)
}
