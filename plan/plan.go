package plan

// Plan is one version of the routing plan.
type Plan struct {
	// Number is the version number assigned by the operator.
	Number uint64 `json:"number"`
	// Base is the number of the version that this one replaces; 0 for the first.
	Base      uint64     `json:"base"`
	Routes    []Route    `json:"routes"`
	Services  []Service  `json:"services"`
	Customers []Customer `json:"customers"`
	// KeysRequired is set if routes that are not public need a customer's key, also while there is no customer. It is
	// not set in versions that were encoded before the field existed, see Index.KeysRequired.
	KeysRequired bool   `json:"keysRequired"`
	Limits       Limits `json:"limits"`
}
