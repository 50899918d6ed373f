package placement

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against requests that leave the regions that their route and customer allow,
// also when these are full, ejected or evacuated.
func TestRequestsStayInTheirRegions(t *testing.T) {
	is := is.New(t)
	table := NewTable(Place{Region: "r", FailureDomain: "r-a", VM: "a"}, NewPace(start, "r"))
	table.SetUpstreams(start, append(upstreamsOf("r", "r-a", 2, 2), upstreamsOf("far", "far-a", 2, 2)...), true)
	q := func() *Query { return &Query{Object: 7, Urgency: 2, Regions: []string{"far"}} }
	for range 20 {
		u, verdict := table.Pick(start, q())
		is.True(verdict != Placed || u.Region == "far")
	}
	_, verdict := table.Pick(start, q())
	is.Equal(verdict, Full)
	table.SetEvacuated(start, map[string]bool{"far-a": true})
	_, verdict = table.Pick(start, q())
	is.Equal(verdict, None)
	u, verdict := table.Pick(start, &Query{Urgency: 2})
	is.Equal(verdict, Placed)
	is.Equal(u.Region, "r")
}
