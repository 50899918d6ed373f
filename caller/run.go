package caller

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"
)

// maxCatchUp bounds the delay of a sending loop that a burst compensates for. Without
// it, rates above about 1000 per second are not reached, because timers fire late.
const maxCatchUp = 50 * time.Millisecond

// Run sends requests until the duration has elapsed, the number of requests is
// reached or the context ends, waits for those in flight and returns the summary.
// If a response does not match its request, it returns both the summary and
// ErrMismatchedResponses.
func Run(ctx context.Context, config Config) (Summary, error) {
	if err := config.validate(); err != nil {
		return Summary{}, errors.Trace(err)
	}
	results, err := newResultCollector(config.Customers)
	if err != nil {
		return Summary{}, errors.Trace(err)
	}
	transport := NewTransport(config.Idempotent, config.MaxInFlight)
	defer transport.CloseIdleConnections()
	directory := NewDirectory(config.Service, config.EntryVMs, config.Clock, transport)
	started := config.Clock.Now()
	sendAll(ctx, &sender{config, directory, transport}, results)
	summary, err := results.finish()
	if err != nil {
		return Summary{}, errors.Trace(err)
	}
	summary.DurationMS = (config.Clock.Now().Mono - started.Mono).Milliseconds()
	summary.Lookups, summary.LookupFailures = directory.lookups.Load(), directory.failures.Load()
	if summary.Wrong > 0 {
		return summary, errors.WithType(errors.Errorf("%d of %d requests got a mismatched response", summary.Wrong, summary.Requests), ErrMismatchedResponses)
	}
	return summary, nil
}

// sendAll runs one sending loop per customer. The loops stop when the duration has
// elapsed; requests in flight end by their own timeout.
func sendAll(ctx context.Context, s *sender, results *resultCollector) {
	sendCtx, cancel := context.WithTimeout(ctx, s.config.Duration)
	defer cancel()
	inFlight := make(chan struct{}, s.config.MaxInFlight)
	var loops sync.WaitGroup
	for _, customer := range s.config.Customers {
		loops.Go(func() { sendLoop(sendCtx, s, customer, inFlight, results) })
	}
	loops.Wait()
}

// sendLoop sends the requests of one customer at its rate and waits for their results.
func sendLoop(sendCtx context.Context, s *sender, customer Customer, inFlight chan struct{}, results *resultCollector) {
	burst := 1 + int(customer.Rate*maxCatchUp.Seconds())
	limiter := rate.NewLimiter(rate.Limit(customer.Rate), burst)
	limiter.AllowN(time.Now(), burst) // use up the initial burst, so that the run starts at the rate
	var requests sync.WaitGroup
	defer requests.Wait()
	for number := 1; s.config.Requests == 0 || number <= s.config.Requests; number++ {
		if limiter.Wait(sendCtx) != nil {
			return
		}
		select {
		case inFlight <- struct{}{}:
		default:
			results.addNotSent(customer.Name)
			continue
		}
		requests.Go(func() {
			defer func() { <-inFlight }()
			results.add(s.send(context.WithoutCancel(sendCtx), customer, number))
		})
	}
}
