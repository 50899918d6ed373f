package grant

import (
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/clock"
)

// Guards against a customer that is said to exceed its rate because a share is new, as after an outage, or after
// it had expired.
func TestNewShareIsNotSettled(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	o := newTestOwner(&c, 1)
	h, b, _ := newTestHolder(&c, "a")
	is.True(!b.Settled())
	for range 2 {
		is.NoErr(exchange(h, o))
		is.True(!b.Settled())
		c.Advance(RenewInterval - 1)
		is.NoErr(exchange(h, o))
		is.True(!b.Settled())
		c.Advance(1)
		is.True(b.Settled())
		c.Advance(2 * DefaultLease)
		is.True(!b.Settled()) // expired
	}
}

// Guards against a customer that is said to exceed its rate because a share is small until another holder has given
// up part of its own.
func TestShareThatWaitsForOthersIsNotSettled(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	o := newTestOwner(&c, 1)
	first, _, _ := newTestHolder(&c, "a")
	second, _, _ := newTestHolder(&c, "b")
	for range 4 {
		is.NoErr(exchange(first, o))
		is.NoErr(exchange(second, o))
		c.Advance(RenewInterval)
	}
	h, b, _ := newTestHolder(&c, "c")
	is.NoErr(exchange(h, o))
	for range 2 { // the second request acknowledges the reduction
		is.NoErr(exchange(first, o))
		c.Advance(MinRenewInterval)
	}
	is.NoErr(exchange(h, o))
	c.Advance(RenewInterval)
	is.True(b.Depth() > 0 && !b.Settled())
	for range 2 {
		is.NoErr(exchange(second, o))
		c.Advance(MinRenewInterval)
	}
	is.NoErr(exchange(h, o))
	is.True(b.Settled())
}

// Guards against a customer that is said to exceed its rate because a new owner only confirms what holders have.
func TestShareIsNotSettledDuringTheGracePeriod(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	o := newTestOwner(&c, 1)
	h, b, _ := newTestHolder(&c, "a")
	for range 3 {
		is.NoErr(exchange(h, o))
		c.Advance(RenewInterval)
	}
	is.True(b.Settled())
	next := newTestOwner(&c, 2)
	is.Equal(exchange(h, next), ErrFullRequestNeeded)
	for range 3 {
		is.NoErr(exchange(h, next))
		c.Advance(RenewInterval)
		is.True(!b.Settled())
	}
	c.Advance(DefaultLease / 10)
	is.NoErr(exchange(h, next))
	is.True(b.Settled())
}

// Guards against a customer that is said to exceed its rate because no owner replies, so that a small share stays
// small although its holder needs more.
func TestShareIsNotSettledWithoutReplies(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	o := newTestOwner(&c, 1)
	h, b, _ := newTestHolder(&c, "a")
	for range 2 {
		is.NoErr(exchange(h, o))
		c.Advance(RenewInterval)
	}
	h.BuildRequest()
	c.Advance(replyTimeout - 1)
	is.True(b.Settled())
	c.Advance(1)
	is.True(b.Depth() > 0 && !b.Settled())
	h.BuildRequest() // another request changes nothing
	is.True(!b.Settled())
	is.NoErr(exchange(h, o))
	is.True(b.Settled())
}
