package steering

import (
	"sync/atomic"
	"time"
)

const (
	// budgetToken is one retry or hedge. Tokens are counted in thousandths so that the
	// budget is one integer.
	budgetToken = 1000
	// budgetPerRequest permits retries and hedges for 10% of the requests.
	budgetPerRequest = budgetToken / 10
	// budgetFloor is added per second, so that a service with few requests can retry once
	// every 5 s.
	budgetFloor = budgetToken / 5
	// budgetCap bounds the burst of retries after a quiet period.
	budgetCap = 10 * budgetToken
	// budgetStart is the budget of a restarted process.
	budgetStart = 3 * budgetToken
)

// RetryBudget limits retries and hedges of one service to a fraction of its requests.
// It is safe for concurrent use.
type RetryBudget struct {
	tokens   atomic.Int64
	granted  atomic.Uint64
	rejected atomic.Uint64
}

func (b *RetryBudget) reset() { b.tokens.Store(budgetStart) }

// RecordRequest counts a first attempt.
func (b *RetryBudget) RecordRequest() { b.add(budgetPerRequest) }

// TryRetry consumes the budget of one retry or hedge. It returns false when the budget
// is exhausted.
func (b *RetryBudget) TryRetry() bool {
	for {
		have := b.tokens.Load()
		if have < budgetToken {
			b.rejected.Add(1)
			return false
		}
		if b.tokens.CompareAndSwap(have, have-budgetToken) {
			b.granted.Add(1)
			return true
		}
	}
}

// Counts returns how many retries and hedges were granted and rejected since the
// start, for metrics.
func (b *RetryBudget) Counts() (granted, rejected uint64) {
	return b.granted.Load(), b.rejected.Load()
}

func (b *RetryBudget) tick(step time.Duration) {
	b.add(int64(budgetFloor * step.Seconds()))
}

func (b *RetryBudget) add(n int64) {
	for {
		have := b.tokens.Load()
		next := min(have+n, budgetCap)
		if next == have || b.tokens.CompareAndSwap(have, next) {
			return
		}
	}
}
