package caller

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
)

// maxAttempts bounds the VMs that one request is sent to.
const maxAttempts = 3

// deadlineShare of the timeout is sent as deadline, so that the answer of a VM
// that gives up in time arrives before the timeout.
const deadlineShare = 0.9

// sender sends single requests.
type sender struct {
	config    Config
	directory *Directory
	transport http.RoundTripper
}

// send sends one request of a customer and follows it to its outcome. The
// number makes its path different from all others of the run.
func (s *sender) send(ctx context.Context, customer Customer, number int) outcome {
	started := s.config.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, s.config.Timeout)
	defer cancel()
	o := outcome{customer: customer.Name}
	s.deliver(ctx, &o, s.request(customer, number))
	o.latency = s.config.Clock.Now().Mono - started.Mono
	return o
}

func (s *sender) deliver(ctx context.Context, o *outcome, wanted request) {
	vms, err := s.directory.EntryVMs(ctx)
	if err != nil {
		o.failure = failureLookup
		return
	}
	for _, vm := range vms[:min(len(vms), maxAttempts)] {
		o.attempts++
		got, failed := attempt(ctx, s.transport, vm, wanted)
		if failed == nil {
			o.failure = ""
			o.judge(wanted, s.config.AnswerBytes, got)
			return
		}
		s.directory.MarkFailed(vm)
		o.failure = failureOf(ctx, failed)
		if ctx.Err() != nil || failed.sent && !s.config.Idempotent {
			return
		}
	}
}

func failureOf(ctx context.Context, failed *attemptError) failure {
	switch {
	case ctx.Err() != nil || errors.Is(failed, context.DeadlineExceeded):
		return failureTimeout
	case !failed.sent:
		return failureConnect
	default:
		return failureConnection
	}
}

func (s *sender) request(customer Customer, number int) request {
	header := http.Header{}
	if customer.Key != "" {
		header.Set("Authorization", "Bearer "+customer.Key)
	}
	deadline := time.Duration(float64(s.config.Timeout) * deadlineShare)
	header.Set("X-Request-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if s.config.IdempotencyKeys {
		header.Set("Idempotency-Key", uuid.NewString())
	}
	wanted := request{
		method:    s.config.Method,
		path:      s.config.Path + "/" + customer.Name + "-" + strconv.Itoa(number),
		header:    header,
		bodyBytes: s.config.BodyBytes,
	}
	if s.config.AnswerBytes > 0 {
		wanted.query = "size=" + strconv.Itoa(s.config.AnswerBytes)
	}
	return wanted
}
