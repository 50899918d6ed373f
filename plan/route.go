package plan

import "time"

// Route says where requests of one host and path prefix go.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Idempotent requests may run more than once.
	Idempotent bool `json:"idempotent"`
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration `json:"timeout"`
	// Target is the time within which an answer is worth most.
	Target time.Duration `json:"target"`
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int `json:"priority"`
	// Split lists the services with their weights; one entry for a plain route.
	Split []WeightedService `json:"split"`
	// MaxAttempts is the most upstreams to which one request may be sent.
	MaxAttempts int `json:"maxAttempts"`
	// Public routes need no key.
	Public bool `json:"public,omitempty"`
	// Affinity asks for requests on one object to go to the same upstream.
	Affinity bool `json:"affinity,omitempty"`
	// Regions bounds where requests may be sent; empty means anywhere.
	Regions []string `json:"regions,omitempty"`
}
