package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"pistachiomount.example/pistachiomount/forward/pool"
	"pistachiomount.example/pistachiomount/forward/sanitize"
	"pistachiomount.example/pistachiomount/grant"
	"pistachiomount.example/pistachiomount/responsehead"
)

// minTimeoutShareOfDeadline divides the deadline of the route: a timeout of an attempt
// that had less time than this share is not attributed to its upstream. Of two attempts
// that each get half of the remaining time, the first has a half and the second a quarter.
const minTimeoutShareOfDeadline = 8

const (
	errAttemptTimeout   = errors.ConstError("attempt timed out")
	errNoLinkCapacity   = errors.ConstError("no link grant in time")
	errAttemptCancelled = errors.ConstError("attempt cancelled")
	errUndelimitedBody  = errors.ConstError("response has neither Content-Length nor chunked encoding")
	errUpstreamRejected = errors.ConstError("upstream rejected the request")
	errProtocolSwitch   = errors.ConstError("upstream switched protocols")
	errMismatched       = errors.ConstError("response to another request")
)

// attempt is one try of a request at one upstream. It owns its grants, buffer and
// connection until it is closed. Only one goroutine may use it at a time.
type attempt struct {
	x           *exchange
	upstream    Upstream
	region      string
	reservation grant.Reservation // taken from the region's rate
	ctx         context.Context
	cancel      context.CancelCauseFunc
	span        trace.Span
	meter       linkMeter
	conns       pool.ConnTracker
	connPolicy  pool.ConnPolicy
	resp        *http.Response
	buf         buffer
	started     time.Time
	err         error
	sent        bool // bytes of the request may have been sent
	complete    bool // buf holds the complete response
	fullyRead   bool // the response was read to its end, so the upstream has finished
	hedge       bool
	closed      bool
}

func newAttempt(x *exchange, u Upstream, region string, reservation grant.Reservation) *attempt {
	a := &attempt{x: x, upstream: u, region: region, reservation: reservation, started: time.Now()}
	ctx, cancel := context.WithCancelCause(x.ctx)
	a.ctx, a.span = x.h.cfg.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient))
	a.cancel = cancel
	a.meter = newMeter(x.h.cfg.Links, x.query.From, u.Region)
	run := x.view.Run
	a.conns.Withhold = func() bool { return x.h.cfg.Views.View().Run != run }
	x.summary.Attempts++
	return a
}

// run sends the request and reads the response: completely if it fits into the buffer,
// otherwise its beginning. With a zero timeout only the deadline applies.
func (a *attempt) run(policy pool.ConnPolicy, timeout time.Duration) {
	a.connPolicy = policy
	if timeout > 0 {
		timer := time.AfterFunc(timeout, func() { a.cancel(errAttemptTimeout) })
		defer func() {
			if !timer.Stop() && a.err == nil {
				a.err = errAttemptTimeout
			}
		}()
	}
	a.err = a.resolveError(a.roundTrip())
}

// resolveError replaces an error by the cause of the cancelled context, if any. After a
// timeout that is attributed to the upstream it also retires the connections that are as
// old as that of the attempt.
func (a *attempt) resolveError(err error) error {
	if err != nil && a.ctx.Err() != nil && !errors.Is(err, errNoLinkCapacity) {
		err = context.Cause(a.ctx)
	}
	if isTimedOut(err) && a.hadEnoughTime() {
		a.conns.RetireConns()
	}
	return err
}

// hadEnoughTime reports whether a timeout may be attributed to the upstream. After a long
// wait in the queue, or with a short deadline set by the caller, it may not.
func (a *attempt) hadEnoughTime() bool {
	return time.Since(a.started) >= a.x.route.Deadline()/minTimeoutShareOfDeadline
}

func isTimedOut(err error) bool {
	return errors.Is(err, errAttemptTimeout) || errors.Is(err, context.DeadlineExceeded)
}

func (a *attempt) roundTrip() error {
	if err := a.meter.chargeRequest(a.ctx, a.x.requestBytes()); err != nil {
		return errNoLinkCapacity
	}
	resp, err := a.x.h.cfg.Pool.RoundTrip(a.upstream.Name, a.upstream.Address, a.connPolicy, a.request(), &a.conns)
	if err != nil {
		a.sent = a.conns.Abort()
		return errors.Trace(err)
	}
	a.sent = true
	a.resp = resp
	a.meter.consume(responseHeaderBytes(resp))
	switch {
	case resp.StatusCode < http.StatusOK:
		return errProtocolSwitch
	case responsehead.EndsWithConn(resp): // a truncated one could not be told from a complete one
		return errUndelimitedBody
	case a.isMismatched(resp):
		a.conns.Abort() // the response to this request is still to come on the connection
		return errMismatched
	}
	return a.bufferResponse()
}

// request builds the request. It has no GetBody, so the transport never retries a request
// with a body.
func (a *attempt) request() *http.Request {
	x := a.x
	h := x.upstreamHeader(time.Until(x.deadline))
	if a.span.SpanContext().IsValid() {
		propagation.TraceContext{}.Inject(a.ctx, propagation.HeaderCarrier(h))
	}
	req := &http.Request{
		Method:     x.method,
		URL:        &url.URL{Scheme: "http", Host: a.upstream.Address, Path: x.target.Path, RawPath: x.target.RawPath, RawQuery: x.target.RawQuery},
		Host:       a.upstream.Address,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     h,
	}
	if len(x.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(x.body))
		req.ContentLength = int64(len(x.body))
	}
	return req.WithContext(a.ctx)
}

func responseHeaderBytes(resp *http.Response) int {
	n := headerOverhead
	for name, values := range resp.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// isMismatched reports a response with the ID of another request, such as a late copy of the response
// to an earlier request on the connection.
func (a *attempt) isMismatched(resp *http.Response) bool {
	id := resp.Header.Get("X-Request-Id")
	return id != "" && id != a.x.id
}

// bufferResponse buffers the response, but reads nothing if its Content-Length exceeds the
// buffer.
func (a *attempt) bufferResponse() error {
	if a.resp.ContentLength > maxBufferedResponse && a.resp.Request.Method != http.MethodHead {
		return nil
	}
	a.buf.open(a.x.h.responseMemory)
	for len(a.buf.bytes()) < maxBufferedResponse {
		space := a.buf.freeSpace(maxBufferedResponse)
		if len(space) == 0 {
			return nil
		}
		n, err := a.read(space)
		a.buf.advance(n)
		if err == io.EOF {
			a.complete = true
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// read reads a part of the response once the link grant allows it.
func (a *attempt) read(p []byte) (int, error) {
	if err := a.meter.reserve(a.ctx, len(p)); err != nil {
		return 0, errNoLinkCapacity
	}
	n, err := a.resp.Body.Read(p)
	a.meter.consume(n)
	a.fullyRead = a.fullyRead || err == io.EOF
	return n, err
}

// withheld reports whether the attempt ended before it was sent because the process had been paused.
func (a *attempt) withheld() bool { return !a.sent && a.conns.Withheld() }

// rejectedByUpstream reports a response by which an upstream rejects the request.
func (a *attempt) rejectedByUpstream() bool {
	if a.resp == nil {
		return false
	}
	switch a.resp.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// close ends the attempt, returns its grants and reports its result. The buffer must not
// be used afterwards.
func (a *attempt) close() {
	a.release()
	a.buf.close()
}

// release does the same but keeps the buffer, so that a complete response can be sent to a
// slow caller without holding a slot.
func (a *attempt) release() {
	if a.closed {
		return
	}
	a.closed = true
	report := a.report()
	a.cancel(errAttemptCancelled)
	if a.resp != nil {
		_ = a.resp.Body.Close() // read to its end, or no longer needed
	}
	cfg := &a.x.h.cfg
	a.meter.close(a.sent)
	if !a.sent {
		cfg.Regions.Refund(a.region, a.x.identity.service, a.reservation)
	}
	a.releaseSlot()
	cfg.Chooser.Report(a.x.query, a.upstream, report)
	a.endSpan()
}

func (a *attempt) report() Report {
	return Report{
		Result:   a.result(),
		Elapsed:  time.Since(a.started),
		Draining: a.resp != nil && sanitize.IsDraining(a.resp, a.connPolicy == pool.DedicatedConn),
	}
}

func (a *attempt) result() Result {
	switch {
	case a.err == nil && a.rejectedByUpstream(), errors.Is(a.err, errUpstreamRejected):
		return ResultRejected
	case a.err == nil:
		return ResultCompleted
	case errors.Is(a.err, pool.ErrNoPermit), errors.Is(a.err, errNoLinkCapacity) && !a.sent:
		return ResultUnused
	case isTimedOut(a.err) && a.hadEnoughTime():
		return ResultTimeout
	case a.ctx.Err() != nil, errors.Is(a.err, errAttemptCancelled), errors.Is(a.err, errNoLinkCapacity):
		return ResultCancelled
	}
	return ResultFailed
}

func (a *attempt) endSpan() {
	if a.span.IsRecording() {
		status := 0
		if a.resp != nil {
			status = a.resp.StatusCode
		}
		a.span.SetAttributes(
			attribute.String("upstream", a.upstream.Name),
			attribute.String("region", a.upstream.Region),
			attribute.Bool("hedge", a.hedge),
			attribute.Int("http.response.status_code", status),
			attribute.Bool("failed", a.err != nil),
		)
	}
	a.span.End()
}
