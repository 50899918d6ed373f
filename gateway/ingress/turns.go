package ingress

import (
	"io"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/gateway/link"
)

// longBody is the length in bytes above which a body is sent in turns with others on a slow link.
const longBody = 16 << 10

// turnWriter sends a long response in chunks that take turns with those of others.
type turnWriter struct {
	conn     *conn
	transfer *link.Transfer
	chunked  bool
	// left is how long writes may still block.
	left time.Duration
}

// takesTurns reports whether the body of a response is sent in turns.
func (c *conn) takesTurns(response *Response) bool {
	return c.server.pacer != nil && (response.Rest != nil || len(response.Body) > longBody)
}

// sendInTurns sends a long body after its head.
func (c *conn) sendInTurns(head []byte, response *Response, chunked bool) error {
	c.server.pacer.Count(len(head))
	if _, err := c.nc.Write(head); err != nil {
		return err
	}
	w := &turnWriter{conn: c, transfer: c.server.pacer.Begin(), chunked: chunked, left: writeTimeout}
	defer c.server.pacer.End()
	if err := w.sendBody(response); err != nil || response.Rest == nil {
		return err
	}
	return w.sendRest(response.Rest)
}

// sendBody sends the buffered part of the body, whose writes may block for writeTimeout in all, and releases it.
func (w *turnWriter) sendBody(response *Response) error {
	defer response.dropBody()
	for body := response.Body; len(body) > 0; {
		n := min(len(body), link.ChunkSize)
		if err := w.send(body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// sendRest forwards the remainder of a long body, of which each restBufferSize may block for writeTimeout. If
// reading it fails, the terminating chunk is not sent.
func (w *turnWriter) sendRest(rest io.Reader) error {
	buf := make([]byte, link.ChunkSize)
	for sent := restBufferSize; ; {
		if sent >= restBufferSize {
			sent, w.left = 0, writeTimeout
		}
		n, err := rest.Read(buf)
		if n > 0 {
			if err := w.send(buf[:n]); err != nil {
				return err
			}
			sent += n
		}
		if err == io.EOF {
			// The end may arrive later than the deadline of the last chunk.
			_ = w.conn.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
			return w.conn.endChunks(w.chunked)
		}
		if err != nil {
			return errors.Annotate(errRest, err.Error())
		}
	}
}

// send waits for a turn and sends one chunk.
func (w *turnWriter) send(chunk []byte) error {
	if err := w.conn.server.pacer.Await(w.conn.ctx, w.transfer, len(chunk)); err != nil {
		return err
	}
	began := time.Now()
	_ = w.conn.nc.SetWriteDeadline(began.Add(w.left))
	err := w.conn.sendData(chunk, w.chunked)
	w.left -= time.Since(began)
	return err
}
