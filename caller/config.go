package caller

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"pistachiomount.example/pistachiomount/clock"
)

const (
	// maxCustomers and maxInFlight bound a run.
	maxCustomers = 1000
	maxInFlight  = 10_000
	// maxResponseBytes bounds the answer that is asked for and read.
	maxResponseBytes = 64 << 20
	// minResponseBytes leaves room for the echo, which shorter answers omit.
	minResponseBytes = 1024
	// maxPathBytes keeps the path below what the stand-in upstreams echo whole.
	maxPathBytes = 128
	// maxCustomerNameBytes is the longest name of a customer in a document.
	maxCustomerNameBytes = 63
)

// Customer is one customer on whose behalf requests are sent.
type Customer struct {
	Name string `json:"name"`
	Key  string `json:"key"`
	// Rate is in requests a second.
	Rate float64 `json:"rate"`
}

// Config describes a run.
type Config struct {
	// EntryVMs are asked for the lookup until an answer names others.
	EntryVMs []netip.AddrPort
	Service  string
	Method   string
	// Path is the route's prefix; each request adds an element of its own.
	Path string
	// Idempotent requests go to another VM after any connection error, others
	// only if nothing was sent.
	Idempotent bool
	// IdempotencyKeys sends a new Idempotency-Key with each request.
	IdempotencyKeys bool
	Customers       []Customer
	// Duration ends the run; Requests, if above 0, ends it earlier after that
	// many requests of each customer.
	Duration time.Duration
	Requests int
	// Timeout bounds one request with all its attempts.
	Timeout time.Duration
	// MaxInFlight bounds the requests at one time; one that would exceed it is
	// counted and not sent.
	MaxInFlight int
	// AnswerBytes asks the stand-in upstreams for answers of this size.
	AnswerBytes int
	BodyBytes   int
	Clock       clock.Clock
}

// LoadCustomers reads a JSON array of customers from a file.
func LoadCustomers(path string) ([]Customer, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithType(errors.Trace(err), ErrInvalidConfig)
	}
	var customers []Customer
	if err := json.Unmarshal(data, &customers); err != nil {
		return nil, errors.WithType(errors.Errorf("file %s is no JSON array of customers", path), ErrInvalidConfig)
	}
	return customers, nil
}

func (c *Config) validate() error {
	switch {
	case len(c.EntryVMs) == 0:
		return invalidConfig("no entry VM")
	case c.Service == "":
		return invalidConfig("no service")
	case !strings.HasPrefix(c.Path, "/") || len(c.Path) > maxPathBytes:
		return invalidConfig("path does not start with / or is longer than 128 bytes")
	case len(c.Customers) == 0 || len(c.Customers) > maxCustomers:
		return invalidConfig("customers are not from 1 to 1000")
	case c.MaxInFlight < 1 || c.MaxInFlight > maxInFlight:
		return invalidConfig("requests in flight are not from 1 to 10000")
	case c.Duration <= 0 || c.Timeout <= 0:
		return invalidConfig("duration or timeout is not above 0")
	case c.AnswerBytes != 0 && (c.AnswerBytes < minResponseBytes || c.AnswerBytes > maxResponseBytes):
		return invalidConfig("answer size is not 0 or from 1024 to 67108864")
	case c.BodyBytes < 0 || c.BodyBytes > maxResponseBytes:
		return invalidConfig("body size is not from 0 to 67108864")
	case c.BodyBytes > 0 && (c.Method == http.MethodGet || c.Method == http.MethodHead):
		return invalidConfig("a body needs a method other than GET and HEAD")
	case c.Clock == nil:
		return invalidConfig("no clock")
	}
	return validateCustomers(c.Customers)
}

func validateCustomers(customers []Customer) error {
	names := map[string]bool{}
	for _, customer := range customers {
		if customer.Name == "" || len(customer.Name) > maxCustomerNameBytes || names[customer.Name] {
			return invalidConfig("a customer's name is empty, too long or used twice")
		}
		if !(customer.Rate > 0 && customer.Rate < float64(rate.Inf)) {
			return invalidConfig("customer " + customer.Name + ": rate is not above 0")
		}
		names[customer.Name] = true
	}
	return nil
}

func invalidConfig(text string) error {
	return errors.WithType(errors.New(text), ErrInvalidConfig)
}
