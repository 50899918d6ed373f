package grant

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/clock"
)

func newSuccessor(c clock.Clock, expected map[string]uint64) *Owner {
	o := NewOwner(OwnerConfig{Term: 2, Quarantine: testQuarantine, ExpectedHolders: expected, SingleProcessPerVM: true}, c)
	o.SetCaps(simCaps())
	return o
}

// Guards against a new leader that grants nothing for a whole lease although every process that
// may hold grants has reported. After a power loss of all VMs, that rejected requests for 3 s.
func TestGracePeriodEndsWhenAllExpectedHoldersHaveReported(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	o := newSuccessor(&c, map[string]uint64{"a": 1, "b": 7})
	a, bucketA, _ := newTestHolder(&c, "a")
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

// Guards against granting the share of a holder of an earlier term to another one because the
// grace period ended before the holder reported.
func TestGracePeriodLastsWhileAnExpectedHolderIsSilent(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	first := newTestOwner(&c, 1)
	b := NewHolder(HolderConfig{VM: "b", Incarnation: 7}, &c)
	bucketB := b.Bucket(simRate)
	is.NoErr(exchange(b, first))
	is.True(bucketB.Depth() > 0)

	o := newSuccessor(&c, map[string]uint64{"a": 1, "b": 7})
	a, bucketA, _ := newTestHolder(&c, "a")
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

// Guards against rates of a killed process that its VM cannot use until the lease ends.
func TestLaterProcessReleasesRatesOfEarlierProcess(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	o := NewOwner(OwnerConfig{Term: 1, NoPredecessor: true, SingleProcessPerVM: true}, &c)
	o.SetCaps(simCaps())
	before, bucket, _ := newTestHolder(&c, "a")
	is.NoErr(exchange(before, o))
	is.True(bucket.Depth() > 0)
	c.Advance(200 * time.Millisecond)
	after := NewHolder(HolderConfig{VM: "a", Incarnation: 2}, &c)
	again := after.Bucket(simRate)
	is.NoErr(exchange(after, o))
	is.True(again.Depth() > 0)
	is.Equal(before.Accept(o.Renew(before.BuildRequest(), true)), ErrStaleIncarnation)
}
