package grant

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

const testQuarantine = 5 * time.Second

func newTestOwner(c clock.Clock, term uint64) *Owner {
	o := NewOwner(OwnerConfig{Term: term, Quarantine: testQuarantine, NoPredecessor: term == 1}, c)
	o.SetCaps(simCaps())
	return o
}

func newTestHolder(c clock.Clock, vm string) (*Holder, *Bucket, *Units) {
	h := NewHolder(HolderConfig{VM: vm, Incarnation: 1}, c)
	return h, h.Bucket(simRate), h.Units(simUnits)
}

func exchange(h *Holder, o *Owner) error { return h.Accept(o.Renew(h.BuildRequest(), true)) }

// Guards against tokens that can be taken after their lease ended: they may have been granted to
// another holder.
func TestTokensAndReservationsEndWithTheLease(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	o := newTestOwner(&c, 1)
	h, b, _ := newTestHolder(&c, "a")
	is.NoErr(exchange(h, o))
	c.Advance(time.Second)
	is.NoErr(exchange(h, o))
	r, ok := b.Reserve(50)
	is.True(ok)
	c.Advance(4 * time.Second)
	is.True(!b.TryTake(1))
	is.NoErr(exchange(h, o))
	b.Refund(r, 50)
	is.True(!b.TryTake(1)) // new depth starts empty, and the reservation is void
	c.Advance(100 * time.Millisecond)
	is.True(b.TryTake(1))
}

// Guards against a refund that is lost, or that fills a bucket above its depth.
func TestRefundFillsUpToTheDepth(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	o := newTestOwner(&c, 1)
	h, b, _ := newTestHolder(&c, "a")
	is.NoErr(exchange(h, o))
	c.Advance(900 * time.Millisecond)
	r, ok := b.Reserve(60)
	is.True(ok)
	is.Equal(b.DelayFor(30), 300*time.Millisecond+1)
	b.Refund(r, 40)
	is.Equal(b.DelayFor(40), time.Duration(0))
	c.Advance(time.Second)
	b.Refund(r, 60)
	is.True(b.TryTake(60))
	is.True(!b.TryTake(1))
	is.Equal(b.DelayFor(61), RenewInterval) // more than the depth
}

// Guards against a unit taken after a suspension that only some clocks counted, and against a
// lease that becomes valid again when the wall clock is set back after its end was reported.
func TestLeaseExpiresOnAnyClock(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	o := newTestOwner(&c, 1)
	h, b, u := newTestHolder(&c, "a")
	is.NoErr(exchange(h, o))
	is.True(u.TryAcquire())
	c.Suspend(DefaultLease)
	is.True(!u.TryAcquire())
	is.NoErr(exchange(h, o))
	is.True(u.TryAcquire())
	c.AdjustWall(DefaultLease)
	req := h.BuildRequest()
	is.True(o.decodeReports(o.memberList[0], req))
	is.Equal(o.reports[0].held.rate, 0.0)
	c.AdjustWall(-DefaultLease)
	is.True(!u.TryAcquire())
	is.Equal(b.Depth(), 0.0)
}

// Guards against an owner that ends a lease before a holder with a slow clock does.
func TestOwnerLeaseOutlastsHolderWithSlowClock(t *testing.T) {
	is := is.New(t)
	var ownerClock, holderClock clock.Manual
	o := newTestOwner(&ownerClock, 1)
	h, _, u := newTestHolder(&holderClock, "a")
	is.NoErr(exchange(h, o))
	ownerClock.Advance(DefaultLease + 59*time.Millisecond)
	holderClock.Advance((DefaultLease + 59*time.Millisecond) * 100 / 102)
	is.True(u.TryAcquire())
	other, _, _ := newTestHolder(&ownerClock, "b")
	reply := o.Renew(other.BuildRequest(), true)
	shares, ok := readShares(reply, other.entries)
	is.True(ok)
	is.Equal(shares, make([]portion, 2))
}

// Guards against holders that accept a reply of a replaced owner or accept a reply twice, and
// against an owner that changes its ledger without a valid leader lease.
func TestHolderRejectsOutdatedReplies(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	first, second := newTestOwner(&c, 1), newTestOwner(&c, 2)
	h, _, _ := newTestHolder(&c, "a")
	rejection := first.Renew(h.BuildRequest(), false)
	is.Equal(len(rejection.GetRuns())+len(first.members), 0)
	is.Equal(h.Accept(rejection), ErrNotLeader)
	early := first.Renew(h.BuildRequest(), true)
	reply := second.Renew(h.BuildRequest(), true)
	is.Equal(h.Accept(early), ErrOutdatedReply)
	is.NoErr(h.Accept(reply))
	is.Equal(h.Accept(reply), ErrOutdatedReply)
	req := h.BuildRequest()
	is.True(first.Renew(req, true).GetNotLeader()) // the request names a later term
	late := &apipb.RenewReply{Term: 1, Sequence: req.GetSequence(), LeaseMs: 3000}
	is.Equal(h.Accept(late), ErrLowerTerm)
	req = h.BuildRequest()
	c.Advance(DefaultLease)
	is.Equal(h.Accept(second.Renew(req, true)), ErrLeaseExpired)
}

// Guards against a delayed request, sent before the lease ended, that ends the quarantine of
// units taken after it was sent, and against a quarantine that never ends.
func TestLateRequestKeepsQuarantine(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	o := newTestOwner(&c, 1)
	h, _, u := newTestHolder(&c, "a")
	is.NoErr(exchange(h, o))
	late := h.BuildRequest()
	for u.TryAcquire() {
	}
	c.Advance(DefaultLease + 100*time.Millisecond)
	other, _, units := newTestHolder(&c, "b")
	o.Renew(late, true)
	is.Equal(o.Usage()[1].Quarantined, int64(11))
	is.NoErr(exchange(other, o))
	is.True(!units.TryAcquire())

	// A report without a grant in force lists exactly the units in use.
	u.Release()
	h.Stop()
	is.NoErr(exchange(h, o))
	is.NoErr(exchange(other, o))
	is.True(units.TryAcquire())
	is.True(!units.TryAcquire())
	for range 10 { // longer than the lease and the quarantine of h
		c.Advance(time.Second)
		is.NoErr(exchange(other, o))
	}
	_, granted := units.InUse()
	is.Equal(granted, uint32(11))
}

// Guards against grants that stay reserved until their lease ends after a planned stop, and
// against grants to a holder that is stopping.
func TestStopReleasesGrantsAtOnce(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	o := newTestOwner(&c, 1)
	h, b, u := newTestHolder(&c, "a")
	is.NoErr(exchange(h, o))
	is.True(u.TryAcquire())
	h.Stop()
	is.True(!u.TryAcquire())
	is.NoErr(exchange(h, o))
	is.Equal(b.Depth(), 0.0)
	other, ob, ou := newTestHolder(&c, "b")
	is.NoErr(exchange(other, o))
	_, granted := ou.InUse()
	is.Equal(granted, uint32(10)) // one is in use at the stopping holder
	is.Equal(ob.Depth(), 60.0)
	u.Release()
	is.NoErr(exchange(h, o))
	is.NoErr(exchange(other, o))
	_, granted = ou.InUse()
	is.Equal(granted, uint32(11))
}

// Guards against grants above a reduced or removed cap that stay in force longer than a lease.
func TestCapsFollowTheDocument(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	o := newTestOwner(&c, 1)
	h, b, u := newTestHolder(&c, "a")
	silent, sb, _ := newTestHolder(&c, "b")
	for range 3 {
		is.NoErr(exchange(h, o))
		is.NoErr(exchange(silent, o))
	}
	is.Equal(b.Depth()+sb.Depth(), 60.0)

	caps := simCaps()
	caps[0].Burst, caps[1].Units = 20, 3
	o.SetCaps(caps)
	for range 11 { // longer than the lease of the silent holder and its quarantine
		c.Advance(time.Second)
		is.NoErr(exchange(h, o))
	}
	is.Equal(b.Depth(), 20.0)
	_, granted := u.InUse()
	is.Equal(granted, uint32(3))

	o.SetCaps(nil)
	is.NoErr(exchange(h, o))
	is.Equal(b.Depth(), 0.0)
	is.True(!u.TryAcquire())
	o.SetCaps(simCaps())
	is.NoErr(exchange(h, o))
	is.Equal(b.Depth(), 60.0)
}

// Guards against units that are granted to holders that do not want them while others do.
func TestUnitsAreNotStranded(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	o := NewOwner(OwnerConfig{Term: 1, Quarantine: testQuarantine, NoPredecessor: true}, &c)
	caps := simCaps()
	caps[1].Units = 3
	o.SetCaps(caps)
	var holders []*Holder
	for i := range 8 {
		h, _, _ := newTestHolder(&c, string(rune('a'+i)))
		holders = append(holders, h)
	}
	served := map[int]int{}
	for range 400 {
		c.Advance(100 * time.Millisecond)
		for i, h := range holders {
			if i < 5 && h.Units(simUnits).TryAcquire() {
				served[i]++
				h.Units(simUnits).Release()
			}
			if h.NeedsRenewal() {
				is.NoErr(exchange(h, o))
			}
		}
	}
	for i := range 5 {
		is.True(served[i] > 40) // the units rotate among all holders that want one
	}
}

// Guards against grants that a new owner confirms although they expired while the request waited
// for the election to end: the earlier owner may have granted them to another holder meanwhile.
func TestNewOwnerDoesNotReviveExpiredGrants(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	first, second := newTestOwner(&c, 1), newTestOwner(&c, 2)
	h, bucket, units := newTestHolder(&c, "a")
	for range 2 {
		bucket.TryTake(1)
		units.TryAcquire()
		is.NoErr(exchange(h, first))
	}
	is.True(bucket.Depth() > 0)
	c.Advance(DefaultLease - 10*time.Millisecond)
	is.Equal(exchange(h, second), ErrFullRequestNeeded)
	request := h.BuildRequest()
	c.Advance(100 * time.Millisecond) // the lease ends while the request is in flight
	is.NoErr(h.Accept(second.Renew(request, true)))
	is.Equal(bucket.Depth(), 0.0)
	is.True(!units.TryAcquire())
	is.NoErr(exchange(h, second)) // a share granted from now on is not in force elsewhere
}
