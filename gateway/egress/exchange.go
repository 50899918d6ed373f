package egress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/headlimit"
	"pistachiomount.example/pistachiomount/responsehead"
)

// Do sends the request once and waits for the response. When the context ends, it closes the
// connection, which makes the upstream cancel the request.
func (p *Pool) Do(ctx context.Context, call *Call) *Reply {
	key := poolKey{call.Upstream, call.Address}
	dialCtx, cancel := context.WithDeadline(ctx, call.Deadline)
	// Without an ID, a late copy of an earlier response cannot be told from the response to this request.
	reuse := call.Header.Get(p.names.RequestID) != ""
	c, err := p.get(dialCtx, key, reuse)
	cancel()
	switch {
	case err != nil && (ctx.Err() != nil || !time.Now().Before(call.Deadline)):
		return &Reply{Outcome: NotRun, Abandoned: true, Err: errors.Annotate(ErrAbandoned, err.Error())}
	case err != nil:
		return &Reply{Outcome: NotRun, Unreachable: true, Err: errors.Trace(err)}
	}
	if call.Withhold != nil && call.Withhold() {
		_ = c.nc.Close()
		return &Reply{Outcome: NotRun, Withheld: true, Err: errors.Trace(ErrWithheld)}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.nc.Close() })
	reply := p.exchange(c, call)
	switch rest := reply.Rest.(type) {
	case *restBody:
		rest.stopWatch = stop // the context still closes the connection while the rest is read
		return reply
	case *streamedBody:
		rest.stopWatch = stop
		go rest.run()
		return reply
	}
	if !stop() {
		reply.Release()
		return &Reply{Outcome: Unknown, Err: errors.Trace(ctx.Err())}
	}
	p.keepOrClose(key, c, reply)
	return reply
}

// keepOrClose returns the connection to the pool or closes it.
func (p *Pool) keepOrClose(key poolKey, c *upstreamConn, reply *Reply) {
	switch {
	case reply.Status != 0 && !c.usableUntil.IsZero() && c.br.Buffered() == 0:
		p.put(key, c)
	default:
		_ = c.nc.Close()
	}
}

func (p *Pool) exchange(c *upstreamConn, call *Call) *Reply {
	c.usableUntil = time.Time{}
	c.deadline, c.long = call.Deadline, call.Rest != nil || len(call.Body) > longRequest
	_ = c.nc.SetDeadline(call.Deadline)
	sent, err := p.send(c, call)
	if err != nil && !sent {
		return &Reply{Outcome: NotRun, Unreachable: true, Err: errors.Annotate(ErrBroken, err.Error())}
	}
	// An upstream may respond before it has read a long body, so a response is read even after a
	// failed write.
	reply := p.receiveReply(c, call)
	reply.SendErr = err
	if reply.Err != nil && err != nil {
		reply.Err = errors.Annotate(reply.Err, err.Error())
	}
	if err != nil {
		c.usableUntil = time.Time{}
		if streamed, ok := reply.Rest.(*streamedBody); ok {
			streamed.reusable = false
		}
	}
	return reply
}

// send writes the request. sent reports whether any byte may have been sent.
func (p *Pool) send(c *upstreamConn, call *Call) (sent bool, err error) {
	buf := append(p.requestHead(call, time.Now()), call.Body...)
	if call.Rest != nil && call.Length < 0 {
		buf = append(p.requestHead(call, time.Now()), encodeChunk(call.Body)...)
	}
	n, err := c.Write(buf)
	if err != nil {
		return n > 0, err
	}
	if call.Rest == nil {
		return true, nil
	}
	return true, sendRest(c, call)
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
		response, err := readHead(c, request)
		if err != nil {
			return &Reply{Outcome: Unknown, Endless: errors.Is(err, headlimit.ErrTooLarge), Err: readError(err)}
		}
		echoed := response.Header.Get(p.names.RequestID)
		if echoed == id || echoed == "" && c.fresh {
			return p.readReply(c, call, response)
		}
		if echoed == "" {
			// On a connection that has carried another request, this may be a late copy of the
			// response to that one.
			return &Reply{Outcome: Unknown, Err: errors.Trace(ErrMismatched)}
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedBody))
		if err != nil {
			return &Reply{Outcome: Unknown, Err: readError(err)}
		}
		if n == maxBufferedBody {
			break // the rest of the body would be parsed as the next response
		}
	}
	return &Reply{Outcome: Unknown, Err: errors.Trace(ErrMismatched)}
}

// readHead reads the head of a response and skips interim responses, such as 100 Continue, whose
// bytes count toward the same limit.
func readHead(c *upstreamConn, request *http.Request) (*http.Response, error) {
	c.head.Limit(headlimit.MaxBytes)
	defer c.head.Lift()
	return responsehead.Read(c.br, request)
}

// readReply reads the body of a response and converts it into a reply.
func (p *Pool) readReply(c *upstreamConn, call *Call, response *http.Response) *Reply {
	reply := &Reply{Status: response.StatusCode, Header: p.forwardedHeaders(response.Header)}
	reply.Load, reply.LoadReported = parseLoad(response.Header.Get(p.names.Load))
	if response.StatusCode != http.StatusMisdirectedRequest { // sent by another upstream at the same address
		reply.Announced = p.names.Announced.Parse(response.StatusCode, response.Header)
	}
	if c.failedBeforeEnd() && responsehead.EndsWithConn(response) && !p.declaresNotRun(response) {
		response.Body = &cutBody{response.Body, c.failure}
	}
	body, err := p.readBody(response, p.streamCondition(call, response))
	if err == nil && !call.healthCheck && response.StatusCode < http.StatusMultipleChoices && response.Header.Get(p.names.Signature) == "" {
		err = errors.Annotate(ErrBroken, "success response without a signature")
	}
	if err != nil {
		body.memory.Release()
		return &Reply{
			Outcome: Unknown, Endless: errors.Is(err, ErrTimeout), Err: err, Load: reply.Load, LoadReported: reply.LoadReported,
			Announced: reply.Announced,
		}
	}
	if body.streamed {
		reply.Length, reply.Rest = response.ContentLength, newStreamedBody(p, call, c, response, body)
		return reply
	}
	reply.Body, reply.buffer = body.data, body.memory
	p.detectNotRun(reply, response)
	switch {
	case !body.complete && reply.Outcome == Answered:
		reply.Length, reply.Rest = response.ContentLength, &restBody{body: response.Body, conn: c}
	case body.complete && !response.Close && !hasConnectionClose(response.Header):
		c.keepUntil(time.Now(), response.Header)
	}
	return reply
}

// streamCondition returns the condition under which a response is streamed. Only a success is: all others may lead
// to another attempt. readReply rejects one without a signature, streamed or not.
func (p *Pool) streamCondition(call *Call, response *http.Response) func() bool {
	success := response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
	if call.Stream == nil || !success || response.Header.Get(p.names.NotRun) != "" {
		return func() bool { return false }
	}
	return func() bool { return call.Stream(time.Now(), response.ContentLength) }
}

// declaresNotRun reports whether the head of a response says that the request did not run. Its body is not passed on.
func (p *Pool) declaresNotRun(response *http.Response) bool {
	return response.StatusCode == http.StatusMisdirectedRequest || response.Header.Get(p.names.NotRun) != ""
}

// detectNotRun marks a reply that declares that the request did not run.
func (p *Pool) detectNotRun(reply *Reply, response *http.Response) {
	reply.Misdirected = response.StatusCode == http.StatusMisdirectedRequest
	if p.declaresNotRun(response) {
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
	if errors.Is(err, headlimit.ErrTooLarge) {
		return errors.Annotatef(ErrOverlong, "more than %d bytes", headlimit.MaxBytes)
	}
	if isTimeout(err) {
		return errors.Annotate(ErrTimeout, err.Error())
	}
	return errors.Annotate(ErrBroken, err.Error())
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
