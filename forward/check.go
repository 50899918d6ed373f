package forward

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/forward/reject"
	"pistachiomount.example/pistachiomount/forward/sanitize"
)

// checkHeaders rejects requests whose headers are too large or contradictory, or that ask
// for anything other than a plain request and response.
func checkHeaders(r *http.Request, l Limits) *reject.Rejection {
	switch {
	case headerTooLarge(r, l):
		return reject.New(reject.HeadersTooLarge, "request headers exceed the limit")
	case r.Method == http.MethodConnect || r.Method == http.MethodTrace:
		return reject.New(reject.MethodNotAllowed, "method is not offered")
	case sanitize.WantsUpgrade(r.Header):
		return reject.New(reject.BadRequest, "protocol upgrades are not offered")
	case len(r.Header["Content-Length"]) > 1:
		return reject.New(reject.BadRequest, "several Content-Length headers")
	}
	return nil
}

func headerTooLarge(r *http.Request, l Limits) bool {
	size, count := len(r.RequestURI), 0
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
			count++
		}
	}
	return size > l.HeaderBytes || count > l.HeaderCount
}

func parseTarget(uri string) (sanitize.Target, *reject.Rejection) {
	t, err := sanitize.ParseTarget(uri)
	switch {
	case errors.Is(err, sanitize.ErrKeyInQuery):
		return t, reject.New(reject.BadRequest, "keys are accepted in headers only")
	case err != nil:
		return t, reject.New(reject.BadRequest, "malformed path or query")
	}
	return t, nil
}

// callerDeadline returns the deadline set by the caller, or 0.
func callerDeadline(h http.Header) (time.Duration, *reject.Rejection) {
	values := h["X-Request-Deadline-Ms"]
	if len(values) == 0 {
		return 0, nil
	}
	ms, err := strconv.ParseUint(values[0], 10, 63)
	tooLong := ms > uint64(maxCallerDeadline/time.Millisecond)
	if len(values) > 1 || err != nil || ms == 0 || tooLong {
		return 0, reject.New(reject.BadRequest, "malformed X-Request-Deadline-Ms")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// idempotencyKey returns the caller's Idempotency-Key, or "".
func idempotencyKey(h http.Header) (string, *reject.Rejection) {
	values := h["Idempotency-Key"]
	if len(values) == 0 {
		return "", nil
	}
	key := values[0]
	notPrintable := func(c rune) bool { return c < ' ' || c > '~' }
	if len(values) > 1 || key == "" || len(key) > maxIdempotencyKeyBytes || strings.ContainsFunc(key, notPrintable) {
		return "", reject.New(reject.BadRequest, "malformed Idempotency-Key")
	}
	return key, nil
}
