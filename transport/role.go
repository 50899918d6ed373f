package transport

import (
	"crypto/tls"

	"github.com/juju/errors"
)

// Role is the kind of a process. It determines which services the process may call.
type Role string

// Roles, as written in the organisational unit of certificates.
const (
	RoleControl Role = "control"
	RoleEntry   Role = "entry"
)

// ErrUnknownRole reports a peer without a role, or with a role that is not accepted.
const ErrUnknownRole = errors.ConstError("peer certificate has no accepted role")

// roleOf returns the first known role in the peer's certificate.
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
