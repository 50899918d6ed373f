package plan

import "time"

// Route maps requests of one host and path prefix to services.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Idempotent marks requests that may run more than once.
	Idempotent bool `json:"idempotent"`
	// Timeout bounds the time until the caller gets an answer.
	Timeout time.Duration `json:"timeout"`
	// Target is the desired response time; later answers are worth less.
	Target time.Duration `json:"target"`
	// Priority orders requests; 0 is the most urgent.
	Priority int `json:"priority"`
	// Split lists the services with their weights; a route without a split has one.
	Split []WeightedService `json:"split"`
	// MaxAttempts bounds the number of upstreams to which one request is sent.
	MaxAttempts int `json:"maxAttempts"`
	// Public routes need no key.
	Public bool `json:"public,omitempty"`
	// Affinity sends requests for the same object to the same upstream.
	Affinity bool `json:"affinity,omitempty"`
	// Regions restricts the regions to which requests may be sent; empty means any.
	Regions []string `json:"regions,omitempty"`
}
