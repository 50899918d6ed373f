package forward

import (
	"context"
	"time"
)

// PublicCustomer is the customer of requests on routes that need no key.
const PublicCustomer = "public"

// maxRateWait limits how long a request waits for its customer's rate. With 12
// VMs, waiting up to 500 ms halves the requests that are rejected although within the rate;
// nearly all of them come from the smallest customers.
const maxRateWait = 500 * time.Millisecond

// Admitter enforces the rate grants of customers.
type Admitter interface {
	// Admit takes one request from the customer's rate, waiting until the given time at
	// most. If it cannot, it returns the delay after which the caller should retry.
	Admit(ctx context.Context, customer string, until time.Time) (retryAfter time.Duration, ok bool)
}
