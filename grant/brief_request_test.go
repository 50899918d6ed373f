package grant

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

func isBrief(req *apipb.RenewRequest) bool { return req.GetLayout() == nil }

// Guards against resource names that are repeated in each renewal, and against brief requests
// that do not follow an accepted reply to the same list of resources.
func TestRequestsAreBriefAfterAnAcceptedReply(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	o := newTestOwner(&c, 1)
	h, b, _ := newTestHolder(&c, "a")
	is.NoErr(exchange(h, o))
	req := h.BuildRequest()
	is.True(isBrief(req))
	is.Equal(len(req.GetHeldRate())+len(req.GetHeldUnits()), 0) // as granted
	o.Renew(req, true)                                          // the reply is lost
	req = h.BuildRequest()
	is.True(!isBrief(req))
	is.Equal(req.GetHeldRate(), []float32{100})
	is.NoErr(h.Accept(o.Renew(req, true)))
	h.Bucket(simOther)
	is.True(!isBrief(h.BuildRequest()))

	is.NoErr(exchange(h, o))
	req = h.BuildRequest()
	is.True(isBrief(req))
	c.Advance(DefaultLease)
	is.Equal(h.Accept(o.Renew(req, true)), ErrLeaseExpired)
	is.True(!isBrief(h.BuildRequest()))
	is.Equal(b.Depth(), 0.0)
}

// Guards against an owner that decodes the shares omitted by a brief request as zero, or as the
// shares that another owner or another reply granted.
func TestOwnerRejectsBriefRequestsItCannotDecode(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	first, second := newTestOwner(&c, 1), newTestOwner(&c, 2)
	h, b, _ := newTestHolder(&c, "a")
	is.NoErr(exchange(h, first))
	is.Equal(exchange(h, second), ErrFullRequestNeeded)
	is.Equal(len(second.Usage()), 2)
	is.Equal(second.Usage()[0].Rate, 0.0)
	is.NoErr(exchange(h, second)) // a full request
	is.Equal(second.Usage()[0].Rate, 100.0)
	is.Equal(b.Depth(), 60.0)

	req := h.BuildRequest()
	is.True(isBrief(req))
	req.AcceptedSequence-- // refers to a reply other than the last one
	is.Equal(h.Accept(second.Renew(req, true)), ErrFullRequestNeeded)
	is.Equal(second.Usage()[0].Rate, 100.0)
	is.NoErr(exchange(h, second))
	req = h.BuildRequest()
	req.LayoutNumber++ // refers to a list that this owner never received
	is.Equal(h.Accept(second.Renew(req, true)), ErrFullRequestNeeded)

	is.NoErr(exchange(h, second))
	brief := h.BuildRequest()
	malformed := h.BuildRequest()
	malformed.HeldRate = malformed.HeldRate[1:]
	is.True(second.Renew(malformed, true).GetFullRequestNeeded())
	is.True(second.Renew(brief, true).GetFullRequestNeeded())
	is.Equal(second.Usage()[0].Rate, 100.0)
	is.NoErr(exchange(h, second))
}

// Guards against a reply that confirms a share by omitting it, although the owner revoked the
// share when its lease expired.
func TestLateBriefRequestRevivesNoExpiredShare(t *testing.T) {
	is := is.New(t)
	var ownerClock, holderClock clock.Manual
	o := newTestOwner(&ownerClock, 1)
	h, b, _ := newTestHolder(&holderClock, "a")
	is.NoErr(exchange(h, o))
	late := h.BuildRequest()
	is.True(isBrief(late))
	ownerClock.Advance(DefaultLease + 100*time.Millisecond)
	other, ob, _ := newTestHolder(&ownerClock, "b")
	is.NoErr(exchange(other, o))
	is.Equal(ob.Depth(), 60.0)
	is.NoErr(h.Accept(o.Renew(late, true)))
	is.Equal(b.Depth(), 0.0)
}

// Guards against a malformed reply that is applied in part.
func TestHolderRejectsMalformedReplies(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	o := newTestOwner(&c, 1)
	h, b, u := newTestHolder(&c, "a")
	reply := o.Renew(h.BuildRequest(), true)
	reply.Units = nil
	is.Equal(h.Accept(reply), ErrMalformedReply)
	is.Equal(b.Depth(), 0.0)
	is.True(!u.TryAcquire())
	is.NoErr(exchange(h, o))
}
