package caller

import (
	"strconv"
	"sync"

	"github.com/juju/errors"
)

const (
	// maxWrongExamples bounds the examples of mismatched responses in a summary.
	maxWrongExamples = 10
	// maxReasons bounds the number of distinct reasons, because they are read from
	// responses.
	maxReasons = 100
	// otherReason is the reason under which further ones are counted.
	otherReason = "(other)"
)

// resultCollector adds up outcomes to a summary. It is safe for concurrent use.
type resultCollector struct {
	latencies *latencies

	mu      sync.Mutex
	summary Summary
}

func newResultCollector(customers []Customer) (*resultCollector, error) {
	l, err := newLatencies()
	if err != nil {
		return nil, errors.Trace(err)
	}
	c := &resultCollector{latencies: l, summary: Summary{Counts: newCounts(), Customers: map[string]*Counts{}, WrongExamples: []string{}}}
	for _, customer := range customers {
		counts := newCounts()
		c.summary.Customers[customer.Name] = &counts
	}
	return c, nil
}

func (c *resultCollector) add(o outcome) {
	if o.ok() {
		c.latencies.record(o.customer, o.latency)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.summary.add(o)
	c.summary.Customers[o.customer].add(o)
	c.summary.ExtraAttempts += max(0, o.attempts-1)
	if o.mismatch != "" && len(c.summary.WrongExamples) < maxWrongExamples {
		c.summary.WrongExamples = append(c.summary.WrongExamples, o.customer+": "+o.mismatch)
	}
}

func (c *resultCollector) addNotSent(customer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.summary.NotSent++
	c.summary.Customers[customer].NotSent++
}

// finish returns the summary. No outcome may be added afterwards.
func (c *resultCollector) finish() (Summary, error) {
	all, perCustomer, err := c.latencies.collect()
	if err != nil {
		return Summary{}, errors.Trace(err)
	}
	c.summary.LatencyMS = all
	for name, counts := range c.summary.Customers {
		counts.LatencyMS = perCustomer[name]
	}
	return c.summary, nil
}

// ok reports whether the response is a success and matches the request.
func (o outcome) ok() bool {
	return o.status >= 200 && o.status < 300 && o.mismatch == ""
}

func (c *Counts) add(o outcome) {
	c.Requests++
	if o.ok() {
		c.OK++
	}
	if o.mismatch != "" {
		c.Wrong++
	}
	if o.failure != "" {
		c.Failures[string(o.failure)]++
		return
	}
	c.Statuses[strconv.Itoa(o.status)]++
	if o.reason != "" {
		countReason(c.Rejections, o.reason)
		countReason(c.RejectionsByRun, o.run)
	}
}

// countReason counts a reason, under otherReason if there are already maxReasons.
func countReason(counts map[string]int, reason string) {
	if _, known := counts[reason]; !known && len(counts) >= maxReasons {
		reason = otherReason
	}
	counts[reason]++
}
