package forward

import "time"

// PublicCustomer is the customer of requests on routes that need no key.
const PublicCustomer = "public"

// Admitter holds the rate grants of customers.
type Admitter interface {
	// TryTake takes one request from the customer's rate. If there is none it
	// returns the delay after which one may be left.
	TryTake(customer string) (retryAfter time.Duration, ok bool)
}
