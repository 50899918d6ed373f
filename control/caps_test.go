package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/grant"
	"pistachiomount.example/pistachiomount/plan"
)

// Guards against customers with a rate and no burst, or less than one request of it, that are never served, and
// against more requests than the rate allows.
func TestRateWithoutABurstIsServed(t *testing.T) {
	const seconds = 30
	for _, c := range []plan.Customer{
		{Name: "c", Rate: 100}, {Name: "c", Rate: 100, Burst: 0.5}, {Name: "c", Rate: 2}, {Name: "c", Rate: 100, Burst: 100},
	} {
		is := is.New(t)
		var now clock.Manual
		owner := grant.NewOwner(grant.OwnerConfig{Term: 1, NoPredecessor: true}, &now)
		owner.SetCaps(capsOfPlan(&plan.Plan{Customers: []plan.Customer{c}}))
		var holders []*grant.Holder
		for _, vm := range []string{"a", "b", "c"} {
			holders = append(holders, grant.NewHolder(grant.HolderConfig{VM: vm, Incarnation: 1}, &now))
		}
		admitted := 0
		for tick := range seconds * 100 {
			for _, h := range holders {
				bucket := h.Bucket(grant.CustomerID("c"))
				if tick%100 == 0 {
					is.NoErr(h.Accept(owner.Renew(h.BuildRequest(), true)))
				}
				for bucket.TryTake(1) {
					admitted++
				}
			}
			now.Advance(10 * time.Millisecond)
		}
		t.Logf("rate %v, burst %v: %d admitted in %d s", c.Rate, c.Burst, admitted, seconds)
		is.True(float64(admitted) >= 0.8*c.Rate*(seconds-2))
		is.True(float64(admitted) <= c.Rate*seconds+max(c.Burst, 3, c.Rate*0.1))
	}
}
