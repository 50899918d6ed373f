package clientmap

import (
	"net/netip"

	"github.com/juju/errors"
)

const (
	// ErrInvalidBlock is returned for a block without a valid prefix or a region.
	ErrInvalidBlock = errors.ConstError("invalid client block")
	// ErrDuplicateBlock is returned when a prefix occurs twice.
	ErrDuplicateBlock = errors.ConstError("duplicate client block")
	// ErrTooManySites is returned when there are more than MaxSites sites.
	ErrTooManySites = errors.ConstError("too many sites")
)

func blockError(kind error, index int, prefix netip.Prefix) error {
	return errors.Annotatef(kind, "block %d (%v)", index, prefix)
}
