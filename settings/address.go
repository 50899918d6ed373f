package settings

import (
	"net/netip"

	"github.com/juju/errors"
)

// Address is an IP address with a port. Port 0 lets the system choose a port.
// Host names are refused, because components are addressed by IP only.
type Address struct {
	netip.AddrPort
}

// UnmarshalText parses an address.
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
	return "an IP address with a port, such as 127.0.0.1:8080 or [::1]:0 (port 0 picks a free port; host names are refused)"
}
