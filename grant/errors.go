package grant

import "github.com/juju/errors"

const (
	// ErrOutdatedReply means that a reply does not answer the most recent request, or that it
	// is a duplicate.
	ErrOutdatedReply = errors.ConstError("reply does not answer the most recent request")
	// ErrLowerTerm means that a reply comes from an owner of an earlier term.
	ErrLowerTerm = errors.ConstError("reply is from an owner of an earlier term")
	// ErrLeaseExpired means that a reply arrived after its lease had ended.
	ErrLeaseExpired = errors.ConstError("reply arrived after its lease ended")
	// ErrNotLeader means that the daemon that answered is not the grant owner at present.
	ErrNotLeader = errors.ConstError("the daemon that answered is not the grant owner")
	// ErrStaleIncarnation means that a newer process of this VM has renewed.
	ErrStaleIncarnation = errors.ConstError("a newer incarnation of this VM has renewed")
	// ErrFullRequestNeeded means that the owner could not decode a request, usually a brief one
	// after another owner's reply. The next request is full.
	ErrFullRequestNeeded = errors.ConstError("the grant owner needs a full request")
	// ErrMalformedReply means that the shares in a reply do not match the request.
	ErrMalformedReply = errors.ConstError("shares in the reply do not match the request")
)
