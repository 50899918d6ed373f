package steering_test

import (
	"math"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pistachiomount.example/pistachiomount/steering"
)

// share returns the share of a region in percent.
func share(s *steering.Steerer, r steering.Request, region string) float64 {
	for _, w := range s.Shares(r) {
		if w.Region == region {
			return w.Percent
		}
	}
	return 0
}

// Guards against a general rule that overrides a more specific one.
func TestMostSpecificRuleWins(t *testing.T) {
	is := is.New(t)
	r := &fixture{}
	r.s = steering.New(&r.clk, nil)
	r.set(
		t,
		steering.Rule{Service: "records", Weights: weights(100, 0, 0)},
		steering.Rule{Service: "records", From: "b", Weights: weights(0, 100, 0)},
		steering.Rule{Service: "records", Customer: "x", Weights: weights(0, 0, 100)},
		steering.Rule{Service: "records", Customer: "x", From: "b", Weights: weights(50, 0, 50)},
	)
	req := func(customer, from string) steering.Request {
		return steering.Request{Service: "records", Customer: customer, From: from}
	}
	is.Equal(share(r.s, req("y", "a"), "a"), 100.0)
	is.Equal(share(r.s, req("y", ""), "a"), 100.0)
	is.Equal(share(r.s, req("y", "b"), "b"), 100.0)
	is.Equal(share(r.s, req("x", "a"), "c"), 100.0)
	is.Equal(share(r.s, req("x", "elsewhere"), "c"), 100.0)
	is.Equal(share(r.s, req("x", "b"), "a"), 50.0)
	_, err := r.s.ChooseRegions(steering.Request{Service: "unknown"})
	is.True(errors.Is(err, steering.ErrNoRule))
}

// Guards against a jump of any request's shares when rules are added, removed or
// changed, and against a target that is never reached.
func TestEveryChangeRamps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &fixture{}
		r.s = steering.New(&r.clk, nil)
		draw := func() []steering.Rule {
			rules := []steering.Rule{{Service: "records", Weights: weights(50, 30, 20)}}
			for _, customer := range []string{"x", "y", steering.Wildcard} {
				for _, from := range []string{"a", "b", steering.Wildcard} {
					if !rapid.Bool().Draw(t, "rule") || customer == steering.Wildcard && from == steering.Wildcard {
						continue
					}
					w := weights(float64(rapid.IntRange(1, 9).Draw(t, "a")), float64(rapid.IntRange(0, 9).Draw(t, "b")), 0)
					rules = append(rules, steering.Rule{Service: "records", Customer: customer, From: from, Weights: w})
				}
			}
			return rules
		}
		config := steering.Config{Regions: simRegions, Rules: draw()}
		if err := r.s.SetConfig(config); err != nil {
			t.Fatal(err)
		}
		var before map[steering.Request][]float64
		for range 3 {
			config.Rules = draw()
			if err := r.s.SetConfig(config); err != nil {
				t.Fatal(err)
			}
			for range rapid.IntRange(1, 80).Draw(t, "ticks") {
				after := allShares(r.s)
				for req, shares := range before {
					for i := range shares {
						if d := math.Abs(after[req][i] - shares[i]); d > 0.5001 {
							t.Fatalf("%v: region %d moved by %v points in 100 ms", req, i, d)
						}
					}
				}
				before = after
				r.advance(simStep)
			}
		}
		r.advance(21 * time.Second)
		fresh := steering.New(&r.clk, nil)
		if err := fresh.SetConfig(config); err != nil {
			t.Fatal(err)
		}
		want := allShares(fresh)
		for req, got := range allShares(r.s) {
			for i := range got {
				if math.Abs(got[i]-want[req][i]) > 0.001 {
					t.Fatalf("%v: %v, want %v", req, got, want[req])
				}
			}
		}
	})
}

// allShares returns the shares by region of every combination of customer and caller region.
func allShares(s *steering.Steerer) map[steering.Request][]float64 {
	out := make(map[steering.Request][]float64)
	for _, customer := range []string{"x", "y", "z"} {
		for _, from := range []string{"a", "b", "c", ""} {
			req := steering.Request{Service: "records", Customer: customer, From: from}
			for _, region := range simRegions {
				out[req] = append(out[req], share(s, req, region))
			}
		}
	}
	return out
}

// Guards against a drain that appears stuck when traffic stops: the measured rates of
// all regions then fall together, so the measured share of the drained region stays constant.
func TestDrainEndsWithoutTraffic(t *testing.T) {
	is := is.New(t)
	r := newFixture(t, 2, 50, 30, 20)
	for range 100 {
		r.serve(t, 20, alwaysSucceed)
		r.advance(simStep)
	}
	is.NoErr(r.s.SetConfig(steering.Config{
		Regions: simRegions, DrainedRegions: []string{"a"},
		Rules: []steering.Rule{{Service: "records", Weights: weights(50, 30, 20)}},
	}))
	r.advance(30 * time.Second)
	is.Equal(share(r.s, steering.Request{Service: "records"}, "a"), 0.0)
	is.Equal(r.s.Drains()[0].ShareNow, 0.0)
}

// Guards against a drained region that keeps traffic, a wrong distribution of its
// share, and progress that does not show the traffic still sent.
func TestDrainRegion(t *testing.T) {
	is := is.New(t)
	r := newFixture(t, 2, 50, 30, 20)
	send := func(d time.Duration) {
		for range int(d / simStep) {
			r.serve(t, 20, alwaysSucceed)
			r.advance(simStep)
		}
	}
	send(10 * time.Second)
	c := steering.Config{
		Regions: simRegions, DrainedRegions: []string{"a"},
		Rules: []steering.Rule{{Service: "records", Weights: weights(50, 30, 20)}},
	}
	is.NoErr(r.s.SetConfig(c))
	send(5 * time.Second)
	halfway := r.s.Drains()
	is.Equal(len(halfway), 1)
	is.Equal(halfway[0].Region, "a")
	is.True(halfway[0].Remaining() > 0.3 && halfway[0].Remaining() < 0.9)
	send(25 * time.Second)
	is.True(r.s.Drains()[0].Remaining() < 0.01)
	req := steering.Request{Service: "records"}
	is.Equal(share(r.s, req, "a"), 0.0)
	is.True(math.Abs(share(r.s, req, "b")-60) < 0.001)
	c.DrainedRegions = []string{"a", "b", "c"}
	is.NoErr(r.s.SetConfig(c))
	r.advance(time.Minute)
	order, err := r.s.ChooseRegions(req)
	is.NoErr(err)
	_, ok := order.Next()
	is.True(!ok)
}

// Guards against an order that repeats a region, omits one with a weight or yields one
// without, and against frequencies that differ from the shares.
func TestOrderYieldsWeightedRegionsOnce(t *testing.T) {
	is := is.New(t)
	r := newFixture(t, 1, 75, 25, 0)
	first := 0
	for range 10_000 {
		order, err := r.s.ChooseRegions(steering.Request{Service: "records"})
		is.NoErr(err)
		p, ok := order.Next()
		is.True(ok)
		q, ok := order.Next()
		is.True(ok && p != q)
		_, ok = order.Next()
		is.True(!ok)
		if p.Region() == "a" {
			first++
		}
	}
	is.True(first > 7300 && first < 7700)
}

// Guards against accepting a configuration that would lose traffic or cause a panic later.
func TestInvalidConfigs(t *testing.T) {
	is := is.New(t)
	s := steering.New(&newFixture(t, 1, 1).clk, nil)
	for _, rules := range [][]steering.Rule{
		{{Weights: weights(1)}},
		{{Service: "s", Weights: []steering.Weight{{Region: "unknown", Percent: 1}}}},
		{{Service: "s", Weights: weights(0, 0)}},
		{{Service: "s", Weights: weights(-1, 2)}},
		{{Service: "s", Weights: weights(math.NaN(), 2)}},
		{{Service: "s", Weights: weights(1)}, {Service: "s", Customer: "*", Weights: weights(1)}},
	} {
		err := s.SetConfig(steering.Config{Regions: simRegions, Rules: rules})
		is.True(errors.Is(err, steering.ErrInvalidConfig))
	}
}
