package gateway

import (
	"context"
	"sync"
	"time"

	"pistachiomount.example/pistachiomount/gateway/ratetokens"
)

const (
	// maxTokenWait is how long a request waits for a token. A shorter wait rejects requests within the rate
	// while messages queue behind long responses on a slow link.
	maxTokenWait = 300 * time.Millisecond
	// borrowDelay is how long the owner of a rate may take to reply before another region is asked too. A reply
	// from there takes about as long, and both fit into maxTokenWait.
	borrowDelay = 150 * time.Millisecond
)

// customerTokens issues tokens of one customer's rate to the requests of this VM. It keeps a stock of them, so
// that most requests need no call, and has at most one call to the owner and one to another region under way.
type customerTokens struct {
	limiter  *rateLimiter
	customer string

	mu        sync.Mutex
	stock     ratetokens.Stock
	waiting   []*tokenWaiter // in order of arrival
	borrowing bool
	// calledAt is when the latest call to the owner began.
	calledAt time.Time
	// lastDenial is the owner's latest reply without a token.
	lastDenial denial
	expiry     *time.Timer
}

// tokenWaiter is a request that waits for a token.
type tokenWaiter struct {
	result chan tokenResult
	// mayBorrow is set if the request has time to wait for a token of another region.
	mayBorrow bool
	// denied is the owner's reply since the request arrived, if it had no token.
	denied *denial
}

type tokenResult struct {
	token  *token
	denied denial
}

// take returns a token, or nil and the reason.
func (c *customerTokens) take(ctx context.Context, timeLeft time.Duration) (*token, denial) {
	c.mu.Lock()
	now := c.limiter.now()
	c.stock.RecordArrival(now)
	if len(c.waiting) == 0 {
		if lot, ok := c.stock.Take(now); ok {
			c.startCall(now)
			c.mu.Unlock()
			return c.newToken(lot), denial{}
		}
	}
	w := &tokenWaiter{result: make(chan tokenResult, 1), mayBorrow: timeLeft >= minLendingTime}
	if wait, denied := c.stock.Denied(now); denied {
		d := c.lastDenial
		d.wait = max(d.wait, wait)
		if !w.mayBorrow || !c.borrowing && !c.limiter.mayBorrow(c.customer) {
			c.mu.Unlock()
			return nil, d
		}
		w.denied = &d
	}
	c.waiting = append(c.waiting, w)
	c.requestMore(now)
	c.mu.Unlock()
	return c.await(ctx, w, min(timeLeft, maxTokenWait))
}

// takeBorrowed returns a token of another region, for the VM that owns the customer's rate and has none left: one of the
// stock, or a new one if mayBorrow is set.
func (c *customerTokens) takeBorrowed(ctx context.Context, limit time.Duration, denied denial, mayBorrow bool) (*token, denial) {
	c.mu.Lock()
	now := c.limiter.now()
	if lot, ok := c.stock.Take(now); ok {
		c.mu.Unlock()
		return c.newToken(lot), denial{}
	}
	if !mayBorrow {
		c.mu.Unlock()
		return nil, denied
	}
	c.lastDenial = denied
	c.stock.Deny(now, denied.wait)
	w := &tokenWaiter{result: make(chan tokenResult, 1), mayBorrow: true, denied: &denied}
	c.waiting = append(c.waiting, w)
	c.startBorrowing()
	c.mu.Unlock()
	return c.await(ctx, w, limit)
}

func (c *customerTokens) await(ctx context.Context, w *tokenWaiter, limit time.Duration) (*token, denial) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case result := <-w.result:
		return result.token, result.denied
	case <-timer.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case result := <-w.result: // delivered at the same moment
		return result.token, result.denied
	default:
	}
	c.removeWaiter(w)
	if w.denied != nil {
		return nil, *w.denied
	}
	return nil, denial{delayed: true}
}

func (c *customerTokens) removeWaiter(w *tokenWaiter) {
	for i, other := range c.waiting {
		if other == w {
			c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
			return
		}
	}
}

// startCall requests tokens from the owner of the rate if the stock or waiting requests need some. c.mu is held.
func (c *customerTokens) startCall(now time.Time) {
	if count := c.stock.BeginCall(now, len(c.waiting)); count > 0 {
		c.calledAt = now
		go c.call(now, count)
	}
}

// requestMore requests tokens for waiting requests: from the owner of the rate, or from another region while the
// owner has none or is late. c.mu is held.
func (c *customerTokens) requestMore(now time.Time) {
	c.startCall(now)
	_, denied := c.stock.Denied(now)
	if denied && !c.stock.Calling() || c.stock.Calling() && now.Sub(c.calledAt) >= borrowDelay {
		c.startBorrowing()
	}
}

// call requests tokens from the owner of the rate. While its reply is late, waiting requests borrow from
// another region; the reply still goes into the stock.
func (c *customerTokens) call(requested time.Time, count int) {
	hedge := time.AfterFunc(borrowDelay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.startBorrowing()
	})
	grant := c.limiter.takeFromOwners(c.customer, count)
	hedge.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stock.EndCall()
	now := c.limiter.now()
	if grant.late {
		c.requestMore(now) // the requests that wait give up after maxTokenWait
		return
	}
	if grant.count > 0 {
		c.add(now, requested, grant)
		c.requestMore(now) // for requests that the grant did not cover
		return
	}
	c.lastDenial = grant.denied
	c.stock.Deny(now, grant.denied.wait)
	for _, w := range c.waiting {
		w.denied = &grant.denied
	}
	if !c.borrowing && !c.startBorrowing() {
		c.denyWaiting(func(*tokenWaiter) bool { return true })
		return
	}
	c.denyWaiting(func(w *tokenWaiter) bool { return !w.mayBorrow })
}

// startBorrowing requests tokens for the waiting requests from another region and reports whether it does.
// c.mu is held.
func (c *customerTokens) startBorrowing() bool {
	count := 0
	for _, w := range c.waiting {
		if w.mayBorrow {
			count++
		}
	}
	if count == 0 || c.borrowing || !c.limiter.mayBorrow(c.customer) {
		return false
	}
	c.borrowing = true
	go c.borrow(c.limiter.now(), count)
	return true
}

func (c *customerTokens) borrow(requested time.Time, count int) {
	grant := c.limiter.takeFromLender(c.customer, count)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.borrowing = false
	now := c.limiter.now()
	switch {
	case grant.count > 0:
		c.add(now, requested, grant)
		c.requestMore(now)
	case !c.stock.Calling():
		c.denyWaiting(func(*tokenWaiter) bool { return true })
	}
}

// add puts tokens into the stock and gives them to waiting requests. c.mu is held.
func (c *customerTokens) add(now, requested time.Time, grant tokenGrant) {
	c.stock.Add(requested, grant.source, grant.epoch, grant.count)
	c.serveWaiting(now)
}

// serveWaiting gives the tokens of the stock to waiting requests. c.mu is held.
func (c *customerTokens) serveWaiting(now time.Time) {
	for len(c.waiting) > 0 {
		lot, ok := c.stock.Take(now)
		if !ok {
			break
		}
		w := c.waiting[0]
		c.waiting = c.waiting[1:]
		w.result <- tokenResult{token: c.newToken(lot)}
	}
	c.armExpiry(now)
}

// denyWaiting rejects the waiting requests for which reject returns true. c.mu is held.
func (c *customerTokens) denyWaiting(reject func(*tokenWaiter) bool) {
	kept := c.waiting[:0]
	for _, w := range c.waiting {
		if !reject(w) {
			kept = append(kept, w)
			continue
		}
		w.result <- tokenResult{denied: c.lastDenial}
	}
	c.waiting = kept
}

func (c *customerTokens) newToken(lot ratetokens.Lot) *token { return &token{stock: c, lot: lot} }

// putBack returns the token of a request that was sent to no upstream.
func (c *customerTokens) putBack(lot ratetokens.Lot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stock.Return(lot)
	c.serveWaiting(c.limiter.now())
}

// armExpiry returns tokens to their sources once they expire. c.mu is held.
func (c *customerTokens) armExpiry(now time.Time) {
	next := c.stock.NextExpiry()
	if c.expiry != nil || next.IsZero() {
		return
	}
	c.expiry = time.AfterFunc(next.Sub(now), c.returnExpired)
}

func (c *customerTokens) returnExpired() {
	c.mu.Lock()
	now := c.limiter.now()
	expired := c.stock.RemoveExpired(now)
	c.expiry = nil
	c.armExpiry(now)
	c.mu.Unlock()
	for _, lot := range expired {
		c.limiter.returnTokens(c.customer, lot)
	}
}
