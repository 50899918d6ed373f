package plan

// Customer owns API keys and has one rate limit for the whole fleet.
type Customer struct {
	Name string `json:"name"`
	// KeyDigests are the digests of the customer's keys, see DigestKey.
	KeyDigests []string `json:"keyDigests"`
	// Priority overrides the priority of the route; nil keeps the route's.
	Priority *int `json:"priority,omitempty"`
	// Rate is in requests per second; 0 means no limit.
	Rate float64 `json:"rate"`
	// Burst is the number of requests that may be sent at once above the rate. At least those of 0.1 s, and
	// three, are allowed.
	Burst float64 `json:"burst"`
	// Regions restricts the regions to which requests may be sent; empty means any.
	Regions []string `json:"regions,omitempty"`
}
