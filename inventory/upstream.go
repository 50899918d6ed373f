package inventory

import (
	"net/netip"
	"time"
)

// Upstream is one entry in the platform's list of upstreams.
type Upstream struct {
	ID            string         `json:"id"`
	Service       string         `json:"service"`
	Address       netip.AddrPort `json:"address"`
	Region        string         `json:"region"`
	FailureDomain string         `json:"failure_domain"`
	State         State          `json:"state"`
	// Slots is how many requests it runs at once; 0 if the list does not tell.
	Slots int `json:"slots,omitempty"`
	// Cold is how much longer it was cold when the list was made.
	Cold time.Duration `json:"-"`
}

// Validate reports the first field that is missing or malformed.
func (u Upstream) Validate() error {
	if err := checkName("service", u.Service); err != nil {
		return err
	}
	return validate(commonFields{"id", u.ID, u.Address, u.Region, u.FailureDomain, u.State})
}

func (u Upstream) key() string { return u.ID }
