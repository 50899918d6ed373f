package inventory_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/inventory"
)

// Guards against sending the full list for each small change, and against changes
// that are not sent at all.
func TestVersionedListReturnsOnlyChanges(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	l := inventory.NewVersionedList(5<<32, &c)
	_, _, _, ok := l.Changes(0)
	is.True(!ok) // no list yet

	a := inventory.Upstream{ID: "a", State: inventory.Live, Cold: 3 * time.Second}
	b := inventory.Upstream{ID: "b", State: inventory.Live}
	l.Update([]inventory.Upstream{a, b}, c.Now())
	changed, removed, full, ok := l.Changes(0)
	is.True(ok && full)
	is.Equal(len(changed)+len(removed), 2)
	first := l.Version()

	c.Advance(time.Second)
	a.Cold = 2 * time.Second // the expected value, so no change
	l.Update([]inventory.Upstream{a, b}, c.Now())
	is.Equal(l.Version(), first)

	b.State = inventory.Leaving
	l.Update([]inventory.Upstream{b}, c.Now())
	changed, removed, full, _ = l.Changes(first)
	is.True(!full)
	is.Equal(changed, []inventory.Upstream{b})
	is.Equal(removed, []string{"a"})

	a.Cold = 3 * time.Second // listed again with a new cold time
	l.Update([]inventory.Upstream{a, b}, c.Now())
	c.Advance(time.Second)
	changed, removed, _, _ = l.Changes(first)
	is.Equal(len(changed), 2)
	is.Equal(changed[0].Cold, 2*time.Second)
	is.Equal(len(removed), 0)

	_, _, full, _ = l.Changes(3 << 32) // version of an earlier leader
	is.True(full)
}
