package plan

// Customer is the owner of keys, with one rate for the whole fleet.
type Customer struct {
	Name string `json:"name"`
	// KeyDigests are the digests of its keys, see DigestKey.
	KeyDigests []string `json:"keyDigests"`
	// Priority takes precedence over that of a route; nil leaves the route's.
	Priority *int `json:"priority,omitempty"`
	// Rate is in requests per second; 0 means no limit.
	Rate float64 `json:"rate"`
	// Burst is what may be sent at once beyond the rate.
	Burst float64 `json:"burst"`
	// Regions bounds where its requests may be sent; empty means anywhere.
	Regions []string `json:"regions,omitempty"`
}
