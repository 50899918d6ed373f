package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/forward/reject"
	"pistachiomount.example/pistachiomount/forward/sanitize"
)

// defaultRetryDelay is the retry delay for callers where no better one is known.
const defaultRetryDelay = 500 * time.Millisecond

// exchange is the state of one request while it is handled. Only the goroutine that runs
// it changes it; attempts read h, ctx, identity, route, query and the fields that they
// send, none of which changes once the first attempt has started.
type exchange struct {
	h            *Handler
	ctx          context.Context
	cancel       context.CancelCauseFunc
	view         View
	identity     identity
	query        Query
	service      *document.Service
	route        *document.Route
	target       sanitize.Target
	method       string
	header       http.Header
	body         []byte
	bodyReserved int
	arrived      time.Time
	deadline     time.Time
	id           string
	claimKey     string
	remoteIP     string
	// awaitRecord waits for the outcome to be recorded, after the response was sent.
	awaitRecord func()
	bodyRead    bool // the caller has nothing more to send
	hasPermit   bool // holds a permit of the queue
	sent        bool // bytes of some attempt may have been sent
	summary     RequestSummary
}

func (h *Handler) newExchange() *exchange {
	return &exchange{h: h, id: requestID(h.cfg.Random), view: h.cfg.Views.View(), arrived: time.Now()}
}

// awaitView waits until the request may be decided by the view, for the time that its caller waits at most.
func (x *exchange) awaitView(ctx context.Context, header http.Header) *reject.Rejection {
	if !x.view.Outdated {
		return nil
	}
	limit, rejection := callerDeadline(header)
	if rejection != nil {
		return rejection
	}
	if limit == 0 {
		limit = maxCallerDeadline
	}
	if x.view = x.h.cfg.Views.Await(ctx, x.arrived.Add(limit)); x.view.Outdated {
		return x.rejectionFor(errViewStale)
	}
	return nil
}

func requestID(random func() uint64) string {
	const digits = "0123456789abcdef"
	var id [32]byte
	hi, lo := random(), random()
	for i := range 16 {
		id[i], id[16+i] = digits[hi>>(4*i)&15], digits[lo>>(4*i)&15]
	}
	return string(id[:])
}

// start creates the context of the request. It ends with the deadline, with the base
// context, or when the key becomes invalid.
func (x *exchange) start(base context.Context) func() {
	bounded, stop := context.WithDeadline(base, x.deadline)
	x.ctx, x.cancel = context.WithCancelCause(bounded)
	if x.identity.keyRequired {
		x.h.running.add(x)
	}
	return func() {
		if x.identity.keyRequired {
			x.h.running.remove(x)
		}
		x.cancel(context.Canceled)
		stop()
	}
}

// rejectionFor returns the rejection for the error that ended a request.
func (x *exchange) rejectionFor(cause error) *reject.Rejection {
	r := reject.New(reject.Deadline, "the deadline passed")
	switch {
	case errors.Is(cause, errRevoked):
		r = reject.New(reject.KeyUnknown, "the key is no longer valid")
	case errors.Is(cause, errNotAllowed):
		r = reject.New(reject.NotAllowed, "the customer may no longer use this service")
	case errors.Is(cause, errViewStale):
		r = reject.New(reject.ViewStale, "keys cannot be checked at the moment").WithRetryAfter(defaultRetryDelay)
	case errors.Is(cause, ErrQueueFull):
		r = reject.New(reject.QueueFull, "too many requests of the customer are waiting").WithRetryAfter(defaultRetryDelay)
	case errors.Is(cause, ErrNoSlots):
		r = reject.New(reject.OverCapacity, "this VM holds no slot of the service").WithRetryAfter(defaultRetryDelay)
	case errors.Is(cause, ErrQueueTooLong):
		r = reject.New(reject.Deadline, "the expected wait exceeds the deadline").WithRetryAfter(defaultRetryDelay)
	}
	if x.sent {
		r.Run = reject.Unknown
	}
	return r
}

// acquirePermit waits in the service's queue for a permit of the customer.
func (x *exchange) acquirePermit() *reject.Rejection {
	if err := x.h.cfg.Queue.Acquire(x.ctx, x.service.Name, x.identity.customer); err != nil {
		if x.ctx.Err() != nil {
			err = context.Cause(x.ctx)
		}
		return x.rejectionFor(err)
	}
	x.hasPermit = true
	return nil
}

// releasePermit returns the queue permit once no slot is needed any more.
func (x *exchange) releasePermit() {
	if x.hasPermit {
		x.hasPermit = false
		x.h.cfg.Queue.Release(x.service.Name, x.identity.customer)
	}
}

// upstreamHeader returns the request headers of one attempt.
func (x *exchange) upstreamHeader(remaining time.Duration) http.Header {
	h := make(http.Header, len(x.header)+6)
	for name, values := range x.header {
		h[name] = values
	}
	h["X-Customer"] = []string{x.identity.customer}
	h["X-Request-Id"] = []string{x.id}
	h["X-Request-Deadline-Ms"] = []string{strconv.FormatInt(max(1, remaining.Milliseconds()), 10)}
	if x.remoteIP != "" {
		h["X-Forwarded-For"] = []string{x.remoteIP}
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // otherwise the transport adds its own
	}
	return h
}

// requestBytes estimates the bytes that an attempt sends.
func (x *exchange) requestBytes() int {
	n := headerOverhead + len(x.target.RawPath) + len(x.target.RawQuery) + len(x.body)
	for name, values := range x.header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
