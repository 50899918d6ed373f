package caller

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
)

// maxAttempts bounds the number of VMs that a request is sent to.
const maxAttempts = 3

// deadlineFraction is the part of the timeout that is sent as the deadline, so that
// the response of a VM that stops at the deadline arrives before the timeout.
const deadlineFraction = 0.9

// sender sends individual requests and retries them at other VMs.
type sender struct {
	config    Config
	directory *Directory
	transport http.RoundTripper
}

// send sends one request of a customer and returns its outcome. The number makes
// its path unique in the run.
func (s *sender) send(ctx context.Context, customer Customer, number int) outcome {
	started := s.config.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, s.config.Timeout)
	defer cancel()
	o := outcome{customer: customer.Name}
	s.sendWithFailover(ctx, &o, s.newRequest(customer, number))
	o.latency = s.config.Clock.Now().Mono - started.Mono
	return o
}

// sendWithFailover sends the request to the ranked VMs in turn until one responds or
// a retry is not allowed, and sets the outcome.
func (s *sender) sendWithFailover(ctx context.Context, o *outcome, req request) {
	vms, err := s.directory.EntryVMs(ctx)
	if err != nil {
		o.failure = failureLookup
		return
	}
	for _, vm := range vms[:min(len(vms), maxAttempts)] {
		o.attempts++
		resp, attemptErr := sendAttempt(ctx, s.transport, vm, req)
		if attemptErr == nil {
			o.failure = ""
			o.evaluate(req, s.config.AnswerBytes, resp)
			return
		}
		s.directory.MarkFailed(vm)
		o.failure = classifyFailure(ctx, attemptErr)
		if ctx.Err() != nil || attemptErr.sent && !s.config.Idempotent {
			return
		}
	}
}

// classifyFailure returns the cause of a failed attempt.
func classifyFailure(ctx context.Context, err *attemptError) failure {
	switch {
	case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		return failureTimeout
	case !err.sent:
		return failureConnect
	default:
		return failureConnection
	}
}

// newRequest returns the request of a customer with the given number.
func (s *sender) newRequest(customer Customer, number int) request {
	header := http.Header{}
	if customer.Key != "" {
		header.Set("Authorization", "Bearer "+customer.Key)
	}
	deadline := time.Duration(float64(s.config.Timeout) * deadlineFraction)
	header.Set("X-Request-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if s.config.IdempotencyKeys {
		header.Set("Idempotency-Key", uuid.NewString())
	}
	req := request{
		method:    s.config.Method,
		path:      s.config.Path + "/" + customer.Name + "-" + strconv.Itoa(number),
		header:    header,
		bodyBytes: s.config.BodyBytes,
	}
	if s.config.AnswerBytes > 0 {
		req.query = "size=" + strconv.Itoa(s.config.AnswerBytes)
	}
	return req
}
