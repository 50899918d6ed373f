package clientmap

import (
	"net/netip"

	"github.com/juju/errors"
)

// Errors of this package.
const (
	// ErrInvalidBlock is returned for a block without a valid prefix or a region.
	ErrInvalidBlock = errors.ConstError("invalid client block")
	// ErrDuplicateBlock is returned if two blocks have the same prefix.
	ErrDuplicateBlock = errors.ConstError("duplicate client block")
	// ErrTooManySites is returned if there are more than MaxSites sites.
	ErrTooManySites = errors.ConstError("too many sites")
)

// blockError adds the index and the prefix of the block to kind.
func blockError(kind error, index int, prefix netip.Prefix) error {
	return errors.Annotatef(kind, "block %d (%v)", index, prefix)
}
