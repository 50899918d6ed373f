package egress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Do sends the request once and waits for the response. When the context ends, it closes the
// connection, which makes the upstream cancel the request.
func (p *Pool) Do(ctx context.Context, call *Call) *Reply {
	key := poolKey{call.Upstream, call.Address}
	dialCtx, cancel := context.WithDeadline(ctx, call.Deadline)
	c, err := p.get(dialCtx, key)
	cancel()
	if err != nil {
		return &Reply{Outcome: NotRun, Unreachable: true, Err: errors.Trace(err)}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.nc.Close() })
	reply := p.exchange(c, call)
	if !stop() {
		return &Reply{Outcome: Unknown, Err: errors.Trace(ctx.Err())}
	}
	p.keepOrClose(key, c, reply)
	return reply
}

// keepOrClose returns the connection to the pool or closes it.
func (p *Pool) keepOrClose(key poolKey, c *upstreamConn, reply *Reply) {
	switch {
	case reply.Rest != nil: // closed by the reader of Rest
	case reply.Status != 0 && !c.usableUntil.IsZero() && c.br.Buffered() == 0:
		p.put(key, c)
	default:
		_ = c.nc.Close()
	}
}

func (p *Pool) exchange(c *upstreamConn, call *Call) *Reply {
	c.usableUntil = time.Time{}
	_ = c.nc.SetDeadline(call.Deadline)
	sent, err := p.send(c, call)
	if err != nil && !sent {
		return &Reply{Outcome: NotRun, Unreachable: true, Err: errors.Annotate(ErrBroken, err.Error())}
	}
	// An upstream may respond before it has read a long body, so a response is read even after a
	// failed write.
	reply := p.receiveReply(c, call)
	if reply.Err != nil && err != nil {
		reply.Err = errors.Annotate(reply.Err, err.Error())
	}
	if err != nil {
		c.usableUntil = time.Time{}
	}
	return reply
}

// send writes the request. sent reports whether any byte may have been sent.
func (p *Pool) send(c *upstreamConn, call *Call) (sent bool, err error) {
	buf := append(p.requestHead(call, time.Now()), call.Body...)
	if call.Rest != nil && call.Length < 0 {
		buf = append(p.requestHead(call, time.Now()), encodeChunk(call.Body)...)
	}
	n, err := c.nc.Write(buf)
	if err != nil {
		return n > 0, err
	}
	if call.Rest == nil {
		return true, nil
	}
	return true, sendRest(c.nc, call)
}

func encodeChunk(data []byte) []byte {
	out := fmt.Appendf(nil, "%x\r\n", len(data))
	out = append(out, data...)
	return append(out, "\r\n"...)
}

func sendRest(w io.Writer, call *Call) error {
	if call.Length >= 0 {
		_, err := io.CopyN(w, call.Rest, call.Length-int64(len(call.Body)))
		return err
	}
	buf := make([]byte, restBufferSize)
	for {
		n, err := call.Rest.Read(buf)
		if n > 0 {
			if _, werr := w.Write(encodeChunk(buf[:n])); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			_, err = io.WriteString(w, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

// receiveReply reads responses until it finds the one to this request. An upstream may send an extra
// response to an earlier request; it is skipped.
func (p *Pool) receiveReply(c *upstreamConn, call *Call) *Reply {
	id := call.Header.Get(p.names.RequestID)
	request := &http.Request{Method: call.Method}
	for range maxMismatched + 1 {
		response, err := http.ReadResponse(c.br, request)
		if err != nil {
			return &Reply{Outcome: Unknown, Err: readError(err)}
		}
		if response.StatusCode < http.StatusOK {
			continue // interim response, such as 100 Continue
		}
		if echoed := response.Header.Get(p.names.RequestID); echoed == id || echoed == "" {
			return p.readReply(c, call, response)
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedBody)); err != nil {
			return &Reply{Outcome: Unknown, Err: readError(err)}
		}
	}
	return &Reply{Outcome: Unknown, Err: errors.Trace(ErrMismatched)}
}

// readReply reads the body of a response and converts it into a reply.
func (p *Pool) readReply(c *upstreamConn, call *Call, response *http.Response) *Reply {
	reply := &Reply{Status: response.StatusCode, Header: p.forwardedHeaders(response.Header)}
	reply.Load, reply.LoadReported = parseLoad(response.Header.Get(p.names.Load))
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBody+1))
	if err != nil {
		return &Reply{Outcome: Unknown, Err: readError(err), Load: reply.Load, LoadReported: reply.LoadReported}
	}
	if !call.healthCheck && response.StatusCode < http.StatusMultipleChoices && response.Header.Get(p.names.Signature) == "" {
		return &Reply{Outcome: Unknown, Err: errors.Annotate(ErrBroken, "success response without a signature"), Load: reply.Load, LoadReported: reply.LoadReported}
	}
	reply.Body = body
	if len(body) > maxBufferedBody {
		reply.Length, reply.Rest = response.ContentLength, &restBody{body: response.Body, conn: c}
		return reply
	}
	if !response.Close && !hasConnectionClose(response.Header) {
		c.keepUntil(time.Now(), response.Header)
	}
	p.detectNotRun(reply, response)
	return reply
}

// detectNotRun marks a reply that declares that the request did not run.
func (p *Pool) detectNotRun(reply *Reply, response *http.Response) {
	reply.Misdirected = response.StatusCode == http.StatusMisdirectedRequest
	if reply.Misdirected || response.Header.Get(p.names.NotRun) != "" {
		reply.Outcome, reply.Err = NotRun, errors.Annotatef(ErrRejected, "status %d", response.StatusCode)
	}
}

func hasConnectionClose(header http.Header) bool {
	for _, value := range header["Connection"] {
		if strings.Contains(strings.ToLower(value), "close") {
			return true
		}
	}
	return false
}

func readError(err error) error {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return errors.Annotate(ErrTimeout, err.Error())
	}
	return errors.Annotate(ErrBroken, err.Error())
}

// restBody reads the remainder of a long response. Its connection is not reused.
type restBody struct {
	body io.ReadCloser
	conn *upstreamConn
}

func (b *restBody) Read(p []byte) (int, error) { return b.body.Read(p) }

func (b *restBody) Close() error { return b.conn.nc.Close() }
