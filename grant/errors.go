package grant

import "github.com/juju/errors"

const (
	// ErrOutdatedReply says that a reply does not answer the most recent
	// request, or that it was received before.
	ErrOutdatedReply = errors.ConstError("reply does not answer the most recent request")
	// ErrLowerTerm says that a reply comes from an owner of an earlier term.
	ErrLowerTerm = errors.ConstError("reply from an earlier term")
	// ErrLeaseOver says that a reply arrived after its lease had ended.
	ErrLeaseOver = errors.ConstError("reply arrived after its lease ended")
	// ErrNotLeader says that the answering daemon is not the owner at present.
	ErrNotLeader = errors.ConstError("not the grant owner")
	// ErrStaleIncarnation says that a newer process of this VM has renewed.
	ErrStaleIncarnation = errors.ConstError("a newer incarnation of this VM has renewed")
	// ErrUnknownLayout says that the owner needs the names of the resources,
	// which the next request contains.
	ErrUnknownLayout = errors.ConstError("the grant owner does not know the layout of this request")
	// ErrMalformedReply says that the shares of a reply do not fit its request.
	ErrMalformedReply = errors.ConstError("shares do not fit the request")
)
