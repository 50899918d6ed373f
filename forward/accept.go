package forward

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/forward/reject"
	"pistachiomount.example/pistachiomount/forward/sanitize"
)

// minBodyKeyLen is the length of the shortest key that is searched for in bodies; shorter
// ones would match by chance.
const minBodyKeyLen = 8

func isDeferred(r *document.Route) bool { return r.Mode == document.ModeDeferred }

// parseRequest validates the headers and the target of the request and returns its API
// key, if any.
func (x *exchange) parseRequest(r *http.Request) (string, *reject.Rejection) {
	if rejection := checkHeaders(r, x.h.cfg.Limits); rejection != nil {
		return "", rejection
	}
	target, rejection := parseTarget(r.RequestURI)
	if rejection != nil {
		return "", rejection
	}
	key, err := sanitize.ExtractKey(r.Header)
	if errors.Is(err, sanitize.ErrKeyAmbiguous) {
		return "", reject.New(reject.KeyAmbiguous, "exactly one key is expected")
	}
	x.method, x.target = r.Method, target
	return key, nil
}

// admit matches the route, authenticates the customer and takes one request from its rate.
func (x *exchange) admit(r *http.Request, key string) *reject.Rejection {
	match, ok := x.view.Index.Match(x.target.Path)
	if !ok && x.view.Revision == 0 {
		return reject.New(reject.ViewStale, "no document is known yet").WithRetryAfter(defaultRetryDelay)
	}
	if !ok {
		return reject.New(reject.RouteUnknown, "no route has this path")
	}
	x.service, x.route = match.Service, match.Route
	if !x.route.AllowsMethod(x.method) {
		return reject.New(reject.MethodNotAllowed, "the route does not take this method")
	}
	if rejection := x.identify(key, !x.route.Public || isDeferred(x.route)); rejection != nil {
		return rejection
	}
	if rejection := x.setDeadlineAndKey(r.Header); rejection != nil {
		return rejection
	}
	if r.ContentLength > 0 && uint64(r.ContentLength) > x.route.MaxBodyBytes {
		return reject.New(reject.BodyTooLarge, "request body exceeds the limit of the route")
	}
	return x.acquireRate(r.Context())
}

func (x *exchange) identify(key string, keyRequired bool) *reject.Rejection {
	x.identity.keyRequired = keyRequired
	defer func() {
		x.query = Query{
			Service: x.identity.service, Customer: x.identity.customer, From: x.view.Region,
			Idempotent: x.route != nil && x.route.Idempotent,
		}
	}()
	if x.service != nil {
		x.identity.service = x.service.Name
	}
	if !keyRequired {
		x.identity.customer = PublicCustomer
		return nil
	}
	if key == "" {
		return reject.New(reject.KeyMissing, "a key is needed")
	}
	if !x.view.Fresh {
		return x.rejectionFor(errViewStale)
	}
	return x.identity.authenticate(x.view, key)
}

// setDeadlineAndKey sets the deadline and the idempotency key of the request.
func (x *exchange) setDeadlineAndKey(h http.Header) *reject.Rejection {
	callerLimit, rejection := callerDeadline(h)
	if rejection != nil {
		return rejection
	}
	allowed := x.route.Deadline()
	if callerLimit > 0 {
		allowed = min(allowed, callerLimit)
	}
	x.deadline = x.arrived.Add(allowed)
	if x.route.Idempotent && !isDeferred(x.route) {
		return nil
	}
	x.claimKey, rejection = idempotencyKey(h)
	if rejection == nil && x.claimKey != "" && !x.identity.keyRequired {
		// Without a customer, one caller could read the outcome of another.
		return reject.New(reject.BadRequest, "Idempotency-Key needs a route with a key")
	}
	return rejection
}

func (x *exchange) acquireRate(ctx context.Context) *reject.Rejection {
	until := time.Now().Add(maxRateWait)
	if !x.deadline.IsZero() && x.deadline.Before(until) {
		until = x.deadline
	}
	if retryAfter, ok := x.h.cfg.Admitter.Admit(ctx, x.identity.customer, until); !ok {
		return reject.New(reject.OverRate, "the customer's rate is used up").WithRetryAfter(retryAfter)
	}
	return nil
}

// receiveBody reads the request body and removes the API key from everything that is
// forwarded.
func (x *exchange) receiveBody(c *caller, r *http.Request, key string) *reject.Rejection {
	var clean bool
	if x.target, clean = x.target.WithoutKey(key); !clean {
		return reject.New(reject.BadRequest, "keys are accepted in headers only")
	}
	x.header = sanitize.FilterRequestHeader(r.Header, key)
	x.remoteIP, _, _ = net.SplitHostPort(r.RemoteAddr)
	if r.ContentLength == 0 {
		return nil
	}
	c.setReadDeadline(x.deadline)
	var err error
	x.body, x.bodyReserved, err = readBody(x.h.requestMemory, c.w, r, x.route.MaxBodyBytes)
	if err != nil {
		return rejectBody(err)
	}
	x.bodyRead = true
	c.setReadDeadline(time.Time{}) // a remaining deadline would stop the server from noticing that the caller disconnects
	if len(key) >= minBodyKeyLen && bytes.Contains(x.body, []byte(key)) {
		return reject.New(reject.BadRequest, "keys are accepted in headers only")
	}
	return nil
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}
