package grant

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/clock"
)

func nextOwner(c clock.Clock, expected map[string]uint64) *Owner {
	o := NewOwner(OwnerConfig{Term: 2, Quarantine: directedLife, ExpectedHolders: expected, SingleProcessPerVM: true}, c)
	o.SetCaps(simCaps())
	return o
}

// Guards against a leader that refuses everything for a whole lease although every
// process that may hold grants has reported: after a power loss of all VMs that was
// 3 s without an answer.
func TestWaitEndsWhenAllExpectedHoldersHaveReported(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	o := nextOwner(&c, map[string]uint64{"a": 1, "b": 7})
	a, bucketA, _ := directedHolder(&c, "a")
	is.NoErr(exchange(a, o))
	c.Advance(300 * time.Millisecond)
	is.NoErr(exchange(a, o))
	is.Equal(bucketA.Depth(), 0.0) // b may hold all of it

	b := NewHolder(HolderConfig{VM: "b", Incarnation: 8}, &c) // a later process of b
	bucketB := b.Bucket(simRate)
	is.NoErr(exchange(b, o))
	c.Advance(300 * time.Millisecond)
	is.NoErr(exchange(a, o))
	is.NoErr(exchange(b, o))
	is.True(bucketA.Depth() > 0)
	is.True(bucketB.Depth()+bucketA.Depth() <= simCaps()[0].Burst)
}

// Guards against a holder of an earlier term whose share is given away because the
// wait ended before it was heard.
func TestWaitLastsWhileAnExpectedHolderIsSilent(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	first := directedOwner(&c, 1)
	b := NewHolder(HolderConfig{VM: "b", Incarnation: 7}, &c)
	bucketB := b.Bucket(simRate)
	is.NoErr(exchange(b, first))
	is.True(bucketB.Depth() > 0)

	o := nextOwner(&c, map[string]uint64{"a": 1, "b": 7})
	a, bucketA, _ := directedHolder(&c, "a")
	for range 9 {
		is.NoErr(exchange(a, o))
		is.Equal(bucketA.Depth(), 0.0)
		c.Advance(300 * time.Millisecond)
	}
	c.Advance(time.Second)
	is.NoErr(exchange(a, o))
	is.True(bucketA.Depth() > 0)
	is.Equal(bucketB.Depth(), 0.0) // its lease has ended
}

// Guards against the rates of a process that was killed being lost to its VM until
// the lease ends.
func TestLaterProcessFreesTheRatesOfTheOneBefore(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	o := NewOwner(OwnerConfig{Term: 1, NoPredecessor: true, SingleProcessPerVM: true}, &c)
	o.SetCaps(simCaps())
	before, bucket, _ := directedHolder(&c, "a")
	is.NoErr(exchange(before, o))
	is.True(bucket.Depth() > 0)
	c.Advance(200 * time.Millisecond)
	after := NewHolder(HolderConfig{VM: "a", Incarnation: 2}, &c)
	again := after.Bucket(simRate)
	is.NoErr(exchange(after, o))
	is.True(again.Depth() > 0)
	is.Equal(before.Accept(o.Renew(before.BuildRequest(), true)), ErrStaleIncarnation)
}
