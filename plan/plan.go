package plan

// Plan is one version of the routing plan.
type Plan struct {
	// Number is the version that the operator gave it.
	Number uint64 `json:"number"`
	// Base is the version that it builds on; 0 for the first one.
	Base      uint64     `json:"base"`
	Routes    []Route    `json:"routes"`
	Services  []Service  `json:"services"`
	Customers []Customer `json:"customers"`
	Limits    Limits     `json:"limits"`
}
