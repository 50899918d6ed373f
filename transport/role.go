package transport

import (
	"crypto/tls"

	"github.com/juju/errors"
)

// Role says what a process is, and so which services it may call.
type Role string

// The roles that certificates name as organisational unit.
const (
	RoleControl Role = "control"
	RoleEntry   Role = "entry"
)

// ErrUnknownRole says that a certificate names no role of the system.
const ErrUnknownRole = errors.ConstError("the peer's certificate names no known role")

func roleOf(state tls.ConnectionState) (Role, error) {
	if len(state.PeerCertificates) == 0 {
		return "", errors.Trace(ErrUnknownRole)
	}
	for _, unit := range state.PeerCertificates[0].Subject.OrganizationalUnit {
		if role := Role(unit); role == RoleControl || role == RoleEntry {
			return role, nil
		}
	}
	return "", errors.Trace(ErrUnknownRole)
}
