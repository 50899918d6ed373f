package grant

import "github.com/juju/errors"

const (
	// ErrOutdatedReply says that a reply does not answer the most recent
	// request, or that it was received before.
	ErrOutdatedReply = errors.ConstError("reply does not answer the most recent request")
	// ErrLowerTerm says that a reply comes from an owner of an earlier term.
	ErrLowerTerm = errors.ConstError("reply from an earlier term")
	// ErrLeaseExpired says that a reply arrived after its lease had ended.
	ErrLeaseExpired = errors.ConstError("reply arrived after its lease ended")
	// ErrNotLeader says that the answering daemon is not the owner at present.
	ErrNotLeader = errors.ConstError("not the grant owner")
	// ErrStaleIncarnation says that a newer process of this VM has renewed.
	ErrStaleIncarnation = errors.ConstError("a newer incarnation of this VM has renewed")
	// ErrFullRequestNeeded says that the owner did not process the request before
	// this one. The next request is full.
	ErrFullRequestNeeded = errors.ConstError("the grant owner needs a full request")
	// ErrMalformedReply says that the shares of a reply do not fit its request.
	ErrMalformedReply = errors.ConstError("shares do not fit the request")
)
