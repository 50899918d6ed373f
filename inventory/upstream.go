package inventory

import (
	"net/netip"
	"time"
)

// Upstream is an entry in the platform's list of upstreams.
type Upstream struct {
	ID            string         `json:"id"`
	Service       string         `json:"service"`
	Address       netip.AddrPort `json:"address"`
	Region        string         `json:"region"`
	FailureDomain string         `json:"failure_domain"`
	State         State          `json:"state"`
	// Slots is the number of concurrent requests it can run; 0 if unknown.
	Slots int `json:"slots,omitempty"`
	// Cold is the rest of the upstream's cold-start time when the list was created.
	Cold time.Duration `json:"-"`
}

// Validate returns an error for the first field that is missing or malformed.
func (u Upstream) Validate() error {
	if err := checkName("service", u.Service); err != nil {
		return err
	}
	return validate(commonFields{"id", u.ID, u.Address, u.Region, u.FailureDomain, u.State})
}

func (u Upstream) key() string { return u.ID }
