package ingress

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// writeResponse sends one response. After an error, or a response that closes the connection, nothing
// more is sent.
func (c *conn) writeResponse(request *http.Request, response *Response) {
	defer response.dropBody()
	if response.Rest != nil {
		defer func() { _ = response.Rest.Close() }()
	}
	if c.ctx.Err() != nil {
		return
	}
	if response.Abort {
		c.abort()
		return
	}
	undelimited := endsWithConn(request, response)
	closing := response.Close || request == nil || request.Close || undelimited
	if c.server.closing.Load() && c.endIfLast() {
		closing = true // only once no later request is pending
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := c.send(request, response, closing); err != nil {
		c.reportCut(request, response, err)
		c.cancel(err)
		if undelimited {
			c.resetOnClose()
		}
		c.abort()
		return
	}
	if closing {
		c.end()
		_ = c.nc.SetReadDeadline(time.Now()) // unblocks the reader
	}
}

// endsWithConn reports whether a response can be ended only by closing the connection: its length is not known, and
// callers of HTTP/1.0 know no chunks.
func endsWithConn(request *http.Request, response *Response) bool {
	return request != nil && !request.ProtoAtLeast(1, 1) && response.Rest != nil && response.Length < 0
}

// resetOnClose makes the connection end with a reset, so that a response that ends with it does not look complete.
func (c *conn) resetOnClose() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that has ended already
	}
}

// abort closes the connection at once.
func (c *conn) abort() {
	c.end()
	_ = c.nc.Close()
}

func (c *conn) send(request *http.Request, response *Response, closing bool) error {
	head := request != nil && request.Method == http.MethodHead
	var b bytes.Buffer
	b.Grow(headBufferSize + min(len(response.Body), maxJoinedBody))
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(response.Status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(response.Status))
	b.WriteString("\r\n")
	_ = response.Header.Write(&b) // writing to a buffer cannot fail
	chunked := writeFraming(&b, request, response, head)
	if closing {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	if head {
		response.dropBody()
	}
	if !head && c.takesTurns(response) {
		return c.sendInTurns(b.Bytes(), response, chunked)
	}
	if !chunked && len(response.Body) <= maxJoinedBody {
		b.Write(response.Body)
		response.dropBody()
	}
	c.server.pacer.Count(b.Len())
	if _, err := c.nc.Write(b.Bytes()); err != nil {
		return err
	}
	if err := c.sendBody(response, chunked); err != nil {
		return err
	}
	if response.Rest == nil || head {
		return nil
	}
	return c.sendRest(response, chunked)
}

// sendBody sends the buffered part of a body and releases it.
func (c *conn) sendBody(response *Response, chunked bool) error {
	defer response.dropBody()
	if len(response.Body) == 0 {
		return nil
	}
	return c.sendData(response.Body, chunked)
}

// writeFraming writes the header that delimits the body.
func writeFraming(b *bytes.Buffer, request *http.Request, response *Response, head bool) (chunked bool) {
	switch {
	case response.Status == http.StatusNoContent || response.Status == http.StatusNotModified:
	case head, endsWithConn(request, response):
	case response.Rest != nil && response.Length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
		return true
	default:
		length := int64(len(response.Body))
		if response.Rest != nil {
			length = response.Length
		}
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.FormatInt(length, 10))
		b.WriteString("\r\n")
	}
	return false
}

// headBufferSize is the initial buffer size for the head of a response, in bytes.
const headBufferSize = 512

// maxJoinedBody is the largest body, in bytes, that is copied behind its head, so that both are sent with
// one write.
const maxJoinedBody = 64 << 10

// restBufferSize is the buffer size for copying the remainder of a long response, in bytes.
const restBufferSize = 32 << 10

// sendRest forwards the remainder of a long body. If reading it fails, the terminating chunk is not
// sent.
func (c *conn) sendRest(response *Response, chunked bool) error {
	buf := make([]byte, restBufferSize)
	for {
		n, err := response.Rest.Read(buf)
		_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		if n > 0 {
			if err := c.sendData(buf[:n], chunked); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return c.endChunks(chunked)
		}
		if err != nil {
			return errors.Annotate(errRest, err.Error())
		}
	}
}

// endChunks marks the end of a body without a length.
func (c *conn) endChunks(chunked bool) error {
	if !chunked {
		return nil
	}
	_, err := io.WriteString(c.nc, "0\r\n\r\n")
	return err
}

func (c *conn) sendData(data []byte, chunked bool) error {
	if chunked {
		return c.sendChunk(data)
	}
	_, err := c.nc.Write(data)
	return err
}

func (c *conn) sendChunk(data []byte) error {
	var b bytes.Buffer
	b.WriteString(strconv.FormatInt(int64(len(data)), 16))
	b.WriteString("\r\n")
	b.Write(data)
	b.WriteString("\r\n")
	_, err := c.nc.Write(b.Bytes())
	return err
}
