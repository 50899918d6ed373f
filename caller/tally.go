package caller

import (
	"strconv"
	"sync"

	"github.com/juju/errors"
)

const (
	// maxWrongExamples bounds the examples in a summary.
	maxWrongExamples = 10
	// maxReasons bounds the different reasons, which the other side chooses.
	maxReasons = 100
	// otherReason counts those beyond the bound.
	otherReason = "(other)"
)

// tally sums up outcomes. It is safe for concurrent use.
type tally struct {
	latencies *latencies

	mu      sync.Mutex
	summary Summary
}

func newTally(customers []Customer) (*tally, error) {
	l, err := newLatencies()
	if err != nil {
		return nil, errors.Trace(err)
	}
	t := &tally{latencies: l, summary: Summary{Counts: newCounts(), Customers: map[string]*Counts{}, WrongExamples: []string{}}}
	for _, customer := range customers {
		counts := newCounts()
		t.summary.Customers[customer.Name] = &counts
	}
	return t, nil
}

func (t *tally) add(o outcome) {
	if o.ok() {
		t.latencies.record(o.customer, o.latency)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.summary.add(o)
	t.summary.Customers[o.customer].add(o)
	t.summary.ExtraAttempts += max(0, o.attempts-1)
	if o.wrong != "" && len(t.summary.WrongExamples) < maxWrongExamples {
		t.summary.WrongExamples = append(t.summary.WrongExamples, o.customer+": "+o.wrong)
	}
}

func (t *tally) notSent(customer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.summary.NotSent++
	t.summary.Customers[customer].NotSent++
}

// finish returns the summary; nothing may be added afterwards.
func (t *tally) finish() (Summary, error) {
	all, each, err := t.latencies.collect()
	if err != nil {
		return Summary{}, errors.Trace(err)
	}
	t.summary.LatencyMS = all
	for name, counts := range t.summary.Customers {
		counts.LatencyMS = each[name]
	}
	return t.summary, nil
}

func (o outcome) ok() bool {
	return o.status >= 200 && o.status < 300 && o.wrong == ""
}

func (c *Counts) add(o outcome) {
	c.Requests++
	if o.ok() {
		c.OK++
	}
	if o.wrong != "" {
		c.Wrong++
	}
	if o.failure != "" {
		c.Failures[string(o.failure)]++
		return
	}
	c.Statuses[strconv.Itoa(o.status)]++
	if o.reason != "" {
		addReason(c.Rejections, o.reason)
		addReason(c.RejectionsByRun, o.run)
	}
}

func addReason(counts map[string]int, reason string) {
	if _, known := counts[reason]; !known && len(counts) >= maxReasons {
		reason = otherReason
	}
	counts[reason]++
}
