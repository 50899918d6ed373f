package steering_test

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/steering"
)

// chooseAndPick returns the upstream for a first attempt, nil when there is none.
func chooseAndPick(s *steering.Steerer, r steering.Request) *steering.Target {
	order, err := s.ChooseRegions(r)
	if err != nil {
		return nil
	}
	p, ok := order.Next()
	if !ok {
		return nil
	}
	target, _ := p.Pick(nil)
	return target
}

// Guards against allocations on the request path, including retries.
func TestChooseDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	r := newFixture(t, 8, 50, 30, 20)
	req := steering.Request{Service: "records", Customer: "x", From: "a", Idempotent: true}
	is.Equal(testing.AllocsPerRun(1000, func() {
		var excluded steering.Exclusion
		order, _ := r.s.ChooseRegions(req)
		for p, ok := order.Next(); ok; p, ok = order.Next() {
			target, _ := p.Pick(&excluded)
			excluded.Add(target)
			target.Begin()
			target.Finish(steering.Outcome{Result: steering.Cancelled})
		}
	}), 0.0)
}

// Guards against data races between the request path and updates of configuration,
// upstream list and reports.
func TestConcurrentUse(t *testing.T) {
	r := newFixture(t, 4, 50, 30, 20)
	var workers sync.WaitGroup
	for w := range 4 {
		workers.Go(func() {
			for i := range 2000 {
				target := chooseAndPick(r.s, steering.Request{Service: "records", From: "a", Idempotent: true})
				if target == nil {
					t.Error("no upstream")
					return
				}
				finish(target, steering.Result((i+w)%2), time.Duration(i)) // Success or Failure
			}
		})
	}
	for i := range 50 {
		r.set(t, steering.Rule{Service: "records", Weights: weights(float64(i), 50, 20)})
		r.list(t)
		r.s.ReportLoad(steering.LoadReport{UpstreamID: "a0", InFlight: i})
		r.s.ReportRegion(steering.RegionReport{Service: "records", Region: "a", Load: 0.5})
		r.advance(simStep)
		r.s.Drains()
	}
	workers.Wait()
}

// newBenchSteerer returns a Steerer with the given number of upstreams per region, regions and customers.
func newBenchSteerer(b *testing.B, upstreams, regions, customers int) *steering.Steerer {
	s := steering.New(clock.NewSystem(), nil)
	c := steering.Config{}
	var list []steering.Upstream
	var w []steering.Weight
	for r := range regions {
		name := fmt.Sprintf("region-%d", r)
		c.Regions = append(c.Regions, name)
		w = append(w, steering.Weight{Region: name, Percent: 100 / float64(regions)})
		for u := range upstreams {
			list = append(list, steering.Upstream{ID: fmt.Sprintf("%s-%d", name, u), Service: "records", Region: name, Slots: 6})
		}
	}
	for i := range customers {
		c.Rules = append(c.Rules, steering.Rule{Service: "records", Customer: fmt.Sprintf("customer-%d", i), Weights: w})
	}
	c.Rules = append(c.Rules, steering.Rule{Service: "records", Weights: w})
	if err := errors.Join(s.SetConfig(c), s.SetUpstreams(list)); err != nil {
		b.Fatal(err)
	}
	s.Tick()
	return s
}

func BenchmarkChooseAndPick(b *testing.B) {
	for _, size := range [][3]int{{5, 3, 8}, {40, 11, 500}} {
		name := fmt.Sprintf("upstreams=%d/regions=%d/customers=%d", size[0], size[1], size[2])
		s := newBenchSteerer(b, size[0], size[1], size[2])
		req := steering.Request{Service: "records", Customer: "customer-3", From: "region-1", Idempotent: true}
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				chooseAndPick(s, req)
			}
		})
		b.Run(name+"/parallel", func(b *testing.B) {
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					chooseAndPick(s, req)
				}
			})
		})
	}
}

func BenchmarkFinish(b *testing.B) {
	s := newBenchSteerer(b, 5, 3, 8)
	target := chooseAndPick(s, steering.Request{Service: "records"})
	b.ReportAllocs()
	for i := range b.N {
		finish(target, steering.Success, time.Duration(i%1000)*time.Microsecond)
	}
}

func BenchmarkTick(b *testing.B) {
	for _, customers := range []int{8, 500} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			s := newBenchSteerer(b, 40, 11, customers)
			b.ReportAllocs()
			for range b.N {
				s.Tick()
			}
		})
	}
}
