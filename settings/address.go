package settings

import (
	"net/netip"

	"github.com/juju/errors"
)

// Address is an IP address with a port. With port 0 the operating system chooses a
// free port. Host names are rejected, because daemons are addressed by IP only.
type Address struct {
	netip.AddrPort
}

// UnmarshalText parses an address. It rejects host names and IPv6 zones.
func (a *Address) UnmarshalText(text []byte) error {
	parsed, err := netip.ParseAddrPort(string(text))
	if err != nil {
		return errors.Trace(err)
	}
	if parsed.Addr().Zone() != "" {
		return errors.NotValidf("zone in address %q", text)
	}
	a.AddrPort = parsed
	return nil
}

// Allowed describes the accepted values.
func (Address) Allowed() string {
	return "an IP address with a port, such as 127.0.0.1:8080 or [::1]:0 (port 0 selects a free port; host names are not allowed)"
}
