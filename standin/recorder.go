package standin

import (
	"maps"
	"net/http"
	"slices"
	"sync"
)

const (
	// maxCustomers, maxHeaderNames and maxSecretLocations bound the sets of a
	// record, because clients choose the names.
	maxCustomers       = 1000
	maxHeaderNames     = 1000
	maxSecretLocations = 100
)

// recorder collects the data of a Record within fixed bounds.
type recorder struct {
	maxRecords int

	mu              sync.Mutex
	index           map[RequestKey]int
	requests        []RequestCount
	unrecorded      int
	customers       map[string]int
	totals          Totals
	headerNames     map[string]bool
	secretLocations map[string]bool
}

func newRecorder(maxRecords int) *recorder {
	return &recorder{
		maxRecords:      maxRecords,
		index:           map[RequestKey]int{},
		customers:       map[string]int{},
		headerNames:     map[string]bool{},
		secretLocations: map[string]bool{},
	}
}

// updateTotals applies an update to the totals.
func (c *recorder) updateTotals(update func(*Totals)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update(&c.totals)
}

// startRequest records that a request starts to run.
func (c *recorder) startRequest(key RequestKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals.Started++
	c.totals.Running++
	c.totals.HighestRunning = max(c.totals.HighestRunning, c.totals.Running)
	if _, known := c.customers[key.Customer]; known || len(c.customers) < maxCustomers {
		c.customers[key.Customer]++
	}
	i, known := c.index[key]
	switch {
	case known:
		c.requests[i].Started++
	case len(c.requests) < c.maxRecords:
		c.index[key] = len(c.requests)
		c.requests = append(c.requests, RequestCount{RequestKey: key, Started: 1})
	default:
		c.unrecorded++
	}
}

// endRequest records that a request has ended, and whether it ran to completion.
func (c *recorder) endRequest(key RequestKey, finished bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals.Running--
	if !finished {
		return
	}
	c.totals.Finished++
	if i, known := c.index[key]; known {
		c.requests[i].Finished++
	}
}

func (c *recorder) running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.totals.Running
}

// recordHeaders records names of headers or trailers.
func (c *recorder) recordHeaders(header http.Header) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range header {
		addBounded(c.headerNames, name, maxHeaderNames)
	}
}

// recordSecret records where a secret arrived, never the secret itself.
func (c *recorder) recordSecret(location string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	addBounded(c.secretLocations, location, maxSecretLocations)
}

func (c *recorder) snapshot(upstream string) Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Record{
		Upstream:          upstream,
		Requests:          append([]RequestCount{}, c.requests...),
		Unrecorded:        c.unrecorded,
		StartedByCustomer: maps.Clone(c.customers),
		Totals:            c.totals,
		HeaderNames:       sortedNames(c.headerNames),
		SecretSeen:        len(c.secretLocations) > 0,
		SecretLocations:   sortedNames(c.secretLocations),
	}
}

// sortedNames returns an empty slice, which JSON writes as [], for an empty set.
func sortedNames(set map[string]bool) []string {
	names := slices.AppendSeq([]string{}, maps.Keys(set))
	slices.Sort(names)
	return names
}

func addBounded(set map[string]bool, name string, limit int) {
	if len(set) < limit {
		set[truncate(name)] = true
	}
}
