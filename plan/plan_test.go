package plan_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/plan"
)

func newPlan(routes int) *plan.Plan {
	priority := 1
	p := &plan.Plan{
		Number: 7, Base: 5,
		Services:  []plan.Service{{Name: "s", HealthPath: "/h", MaxConnections: 330, Warmup: 3 * time.Second, WarmupRate: 9.5}},
		Customers: []plan.Customer{{Name: "c", KeyDigests: []string{plan.DigestKey("k")}, Priority: &priority, Rate: 156, Burst: 150}},
		Limits:    plan.Limits{MaxHeaderBytes: 1, MaxBodyBytes: 2, HeaderTimeout: time.Second, IdleTimeout: time.Minute},
	}
	for i := range routes {
		p.Routes = append(p.Routes, plan.Route{
			Name: fmt.Sprint("r", i), Host: "h.example", Prefix: fmt.Sprintf("/p%d/", i), Idempotent: true, Timeout: time.Second,
			Split: []plan.WeightedService{{Service: "s", Weight: 90}}, MaxAttempts: 2, Regions: []string{"r"},
		})
	}
	return p
}

// Guards against a plan that is altered by encoding, delta or compression, and
// against a small change that is sent as the whole plan.
func TestStateRoundTripAndSmallDeltas(t *testing.T) {
	is := is.New(t)
	before, err := plan.Encode(newPlan(300))
	is.NoErr(err)
	changed := newPlan(300)
	changed.Routes[150].Timeout = 2 * time.Second
	after, err := plan.Encode(changed)
	is.NoErr(err)
	oldState, newState := plan.EncodeState(before, nil), plan.EncodeState(after, []string{"z1", "z2"})

	steps := document.Delta(oldState, newState)
	deltaBytes := 0
	for _, s := range steps {
		deltaBytes += len(s.Data)
	}
	is.True(deltaBytes < len(newState)/50)
	got, err := document.ApplyDelta(oldState, steps, document.Digest(newState))
	is.NoErr(err)
	p, evacuated, err := plan.DecodeState(got)
	is.NoErr(err)
	is.Equal(p, changed)
	is.Equal(evacuated, []string{"z1", "z2"})

	compressed, err := plan.Compress(newState)
	is.NoErr(err)
	is.True(len(compressed) < len(newState)/5)
	raw, err := plan.Decompress(compressed)
	is.NoErr(err)
	is.True(bytes.Equal(raw, newState))
}

// Guards against parts of a plan that are lost with its routes.
func TestPlanIsDecodedWithoutItsRoutes(t *testing.T) {
	is := is.New(t)
	want := newPlan(300)
	encoded, err := plan.Encode(want)
	is.NoErr(err)
	got, err := plan.DecodeWithoutRoutes(plan.EncodeState(encoded, []string{"z1"}))
	is.NoErr(err)
	want.Routes = nil
	is.Equal(got, want)
}

// Guards against corrupt bytes that are accepted as a plan.
func TestCorruptStatesAreRejected(t *testing.T) {
	is := is.New(t)
	for _, raw := range []string{"", "evacuated z1\n", "plan {\n", "plan {\"number\":3}\nroute {]\n"} {
		_, _, err := plan.DecodeState([]byte(raw))
		is.True(errors.Is(err, plan.ErrCorrupt))
	}
	_, err := plan.Decompress([]byte("not packed"))
	is.True(errors.Is(err, plan.ErrCorrupt))
}

// Guards against a route that matches by a shorter prefix than the longest, by part
// of a path segment, or only for one case of the host name.
func TestLongestPrefixWins(t *testing.T) {
	is := is.New(t)
	p := &plan.Plan{Number: 1, Routes: []plan.Route{
		{Name: "root", Host: "h.example", Prefix: "/"},
		{Name: "a", Host: "h.example", Prefix: "/a/"},
		{Name: "ab", Host: "h.example", Prefix: "/a/b/"},
		{Name: "other", Host: "o.example", Prefix: "/a/"},
	}}
	x := plan.NewIndex(p)
	for path, want := range map[string]string{"/": "root", "/a": "root", "/ab/": "root", "/a/": "a", "/a/bc": "a", "/a/b/c": "ab"} {
		is.Equal(x.Route("H.example:8080", path).Name, want)
	}
	is.Equal(x.Route("o.example", "/b/"), nil)
	is.Equal(x.Route("unknown.example", "/"), nil)
}
