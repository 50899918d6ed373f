package forward

import (
	"context"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/forward/pool"
	"pistachiomount.example/pistachiomount/forward/reject"
)

// sendOnce makes the only attempt of a request that must not be repeated. One that was withheld, since the process was
// paused before it was sent, is no attempt.
func (x *exchange) sendOnce() (*attempt, *reject.Rejection) {
	for {
		a, rejection := x.pickWithWait()
		if rejection != nil {
			return nil, rejection
		}
		a.run(pool.DedicatedConn, 0)
		if a.err == nil {
			return a, nil
		}
		a.close()
		x.sent = a.sent
		if !a.withheld() {
			return nil, x.attemptRejection(a.err)
		}
		if rejection := x.checkStillAllowed(); rejection != nil {
			return nil, rejection
		}
	}
}

// attemptRejection returns the rejection for the error of a failed attempt.
func (x *exchange) attemptRejection(err error) *reject.Rejection {
	var r *reject.Rejection
	switch {
	case x.ctx.Err() != nil:
		return x.rejectionFor(context.Cause(x.ctx))
	case x.sent && !x.route.Idempotent:
		return reject.NewUnknown(reject.OutcomeUnknown, "the upstream gave no whole answer")
	case errors.Is(err, pool.ErrNoPermit):
		r = reject.New(reject.OverCapacity, "no connection to the upstream is left").WithRetryAfter(defaultRetryDelay)
	case errors.Is(err, errNoLinkCapacity):
		r = reject.New(reject.OverCapacity, "the link to the upstream has no capacity left").WithRetryAfter(defaultRetryDelay)
	default:
		r = reject.New(reject.UpstreamFailed, "no upstream gave a whole answer").WithRetryAfter(defaultRetryDelay)
	}
	if x.sent {
		r.Run = reject.Unknown
	}
	return r
}
