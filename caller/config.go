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
	// maxCustomers and maxInFlight bound the load of a run.
	maxCustomers = 1000
	maxInFlight  = 10_000
	// maxResponseBytes bounds the response body that is requested and read.
	maxResponseBytes = 64 << 20
	// minResponseBytes leaves space for the echo, which shorter responses omit.
	minResponseBytes = 1024
	// maxPathBytes keeps the path short enough for the stand-in upstreams to echo it
	// untruncated.
	maxPathBytes = 128
	// maxCustomerNameBytes is the maximum length of a customer name in a document.
	maxCustomerNameBytes = 63
)

// Customer is a customer on whose behalf requests are sent.
type Customer struct {
	Name string `json:"name"`
	Key  string `json:"key"`
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
}

// Config describes a run.
type Config struct {
	// EntryVMs are the entry VMs for the first lookup, and for later ones if the VMs
	// of the last result fail.
	EntryVMs []netip.AddrPort
	Service  string
	Method   string
	// Path is the prefix of the route; each request appends a unique path element.
	Path string
	// Idempotent allows a retry at another VM after any connection error. Otherwise
	// a request is retried only if nothing of it was sent.
	Idempotent bool
	// IdempotencyKeys sends a new Idempotency-Key with each request.
	IdempotencyKeys bool
	Customers       []Customer
	// Duration bounds the run. Requests, if above 0, ends it earlier, after that many
	// requests of each customer.
	Duration time.Duration
	Requests int
	// Timeout bounds one request including all its attempts.
	Timeout time.Duration
	// MaxInFlight bounds the concurrent requests. A request above it is counted as
	// not sent.
	MaxInFlight int
	// AnswerBytes is the response size requested from the stand-in upstreams; 0
	// leaves it to them.
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
		return nil, errors.WithType(errors.Errorf("file %s is not a JSON array of customers", path), ErrInvalidConfig)
	}
	return customers, nil
}

// validate returns ErrInvalidConfig if the configuration cannot be run.
func (c *Config) validate() error {
	switch {
	case len(c.EntryVMs) == 0:
		return invalidConfig("no entry VM is configured")
	case c.Service == "":
		return invalidConfig("no service is configured")
	case !strings.HasPrefix(c.Path, "/") || len(c.Path) > maxPathBytes:
		return invalidConfig("path must start with / and have at most 128 bytes")
	case len(c.Customers) == 0 || len(c.Customers) > maxCustomers:
		return invalidConfig("number of customers must be from 1 to 1000")
	case c.MaxInFlight < 1 || c.MaxInFlight > maxInFlight:
		return invalidConfig("maximum of requests in flight must be from 1 to 10000")
	case c.Duration <= 0 || c.Timeout <= 0:
		return invalidConfig("duration and timeout must be above 0")
	case c.AnswerBytes != 0 && (c.AnswerBytes < minResponseBytes || c.AnswerBytes > maxResponseBytes):
		return invalidConfig("response size (answer bytes) must be 0 or from 1024 to 67108864")
	case c.BodyBytes < 0 || c.BodyBytes > maxResponseBytes:
		return invalidConfig("body size must be from 0 to 67108864")
	case c.BodyBytes > 0 && (c.Method == http.MethodGet || c.Method == http.MethodHead):
		return invalidConfig("requests with a body need a method other than GET and HEAD")
	case c.Clock == nil:
		return invalidConfig("no clock is configured")
	}
	return validateCustomers(c.Customers)
}

// validateCustomers checks the names, which must be unique, and the rates.
func validateCustomers(customers []Customer) error {
	names := map[string]bool{}
	for _, customer := range customers {
		if customer.Name == "" || len(customer.Name) > maxCustomerNameBytes || names[customer.Name] {
			return invalidConfig("customer names must be unique and have 1 to 63 bytes")
		}
		if !(customer.Rate > 0 && customer.Rate < float64(rate.Inf)) {
			return invalidConfig("customer " + customer.Name + ": rate must be finite and above 0")
		}
		names[customer.Name] = true
	}
	return nil
}

func invalidConfig(text string) error {
	return errors.WithType(errors.New(text), ErrInvalidConfig)
}
