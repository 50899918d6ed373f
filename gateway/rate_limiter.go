package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/entry"
	"pistachiomount.example/pistachiomount/gateway/ratetokens"
	"pistachiomount.example/pistachiomount/grant"
	"pistachiomount.example/pistachiomount/plan"
)

const (
	// takeTimeout limits a call for tokens. The requests that wait for them give up earlier, after maxTokenWait; a
	// later reply still serves those that follow.
	takeTimeout = 500 * time.Millisecond
	// ownerRetryInterval is how long a VM that did not answer is skipped.
	ownerRetryInterval = time.Second
	// maxTimeouts is how many calls in a row may exceed takeTimeout before their VM counts as lost: one may queue
	// behind long responses on a slow link.
	maxTimeouts = 2
	// exhaustedInterval is how long a customer is rejected at once after another region had no token either.
	exhaustedInterval = 100 * time.Millisecond
	// minLendingTime is the time that must be left to ask other regions for a token: their round trips,
	// and as much again for the request.
	minLendingTime = 500 * time.Millisecond
	// shareRetention is how long a VM keeps the share of a rate that it does not own after another VM last asked
	// it for a token.
	shareRetention = 3 * time.Second
	// maxTokensPerCall limits the tokens of one call.
	maxTokensPerCall = 1000
)

// rateLimiter admits requests within the rates of customers, using this VM's own grants or those of
// the VM in its region that owns the customer's rate.
type rateLimiter struct {
	self     string
	region   string
	follower *entry.PlanFollower
	log      logrus.FieldLogger
	clock    clock.Clock
	started  clock.Instant

	mu          sync.Mutex
	customers   map[string]*customerTokens
	unreachable map[string]time.Time // until when VMs that did not answer are skipped
	timeouts    map[string]timeouts  // calls in a row that exceeded takeTimeout, by VM
	exhausted   map[string]time.Time // until when customers are rejected without asking other regions
	askedAt     map[string]time.Time // when another VM last took a token of the customer's rate here
	currentPool *ratePool
	lent        atomic.Uint64 // requests for tokens of other regions
}

func newRateLimiter(self, region string, follower *entry.PlanFollower, c clock.Clock, log logrus.FieldLogger) *rateLimiter {
	return &rateLimiter{
		self: self, region: region, follower: follower, log: log, clock: c, started: c.Now(),
		customers: map[string]*customerTokens{}, unreachable: map[string]time.Time{}, timeouts: map[string]timeouts{},
		exhausted: map[string]time.Time{}, askedAt: map[string]time.Time{},
	}
}

// token admits one request. It is of this VM's own share if bucket is set, else of the stock.
type token struct {
	bucket      *grant.Bucket
	reservation grant.Reservation

	stock *customerTokens
	lot   ratetokens.Lot
}

// tokenGrant is the result of a call for tokens: their number, or why there is none.
type tokenGrant struct {
	source string
	epoch  uint64
	count  int
	denied denial
	// late is set if the owner did not reply in time and is not given up yet.
	late bool
}

// denial describes why there is no token.
type denial struct {
	// noShare: the VM that was asked holds no share of the rate, or one that is too new to tell, so the
	// customer may be within it.
	noShare bool
	// delayed: no VM replied in time, so the customer may be within its rate.
	delayed bool
	// wait is the time until a token is likely to be available.
	wait time.Duration
}

// take returns a token, or nil and the reason. timeLeft is the time until the caller's deadline.
func (r *rateLimiter) take(ctx context.Context, customer *plan.Customer, timeLeft time.Duration) (*token, denial) {
	owns := r.ownsRate(customer.Name)
	if !owns && !r.pool().dividesRate(customer.Rate) {
		return r.tokensOf(customer.Name).take(ctx, timeLeft)
	}
	bucket := r.follower.Holder().Bucket(grant.CustomerID(customer.Name))
	if reservation, ok := bucket.Reserve(1); ok {
		return &token{bucket: bucket, reservation: reservation}, denial{}
	}
	if !owns {
		return r.tokensOf(customer.Name).take(ctx, timeLeft)
	}
	denied := denial{noShare: !bucket.Settled(), wait: bucket.DelayFor(1)}
	mayBorrow := timeLeft >= minLendingTime && r.mayBorrow(customer.Name)
	return r.tokensOf(customer.Name).takeBorrowed(ctx, min(timeLeft, maxTokenWait), denied, mayBorrow)
}

// ownsRate reports whether this VM takes tokens of the customer's rate from its own share.
func (r *rateLimiter) ownsRate(customer string) bool {
	owners := r.pool().rateOwners(customer)
	return len(owners) == 0 || owners[0].Name == r.self
}

// now returns the time for stocks of tokens. It advances with the fastest clock, as leases do: tokens must not outlast the
// suspension of a VM.
func (r *rateLimiter) now() time.Time {
	return time.Unix(0, 0).Add(r.clock.Now().ElapsedSince(r.started))
}

// tokensOf returns the tokens of a customer's rate at this VM.
func (r *rateLimiter) tokensOf(customer string) *customerTokens {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.customers[customer]
	if c == nil {
		c = &customerTokens{limiter: r, customer: customer}
		r.customers[customer] = c
	}
	return c
}

// takeFromOwners requests tokens from the VM of the region that owns the customer's rate, from the next one if that is
// lost, or takes them from this VM's share.
func (r *rateLimiter) takeFromOwners(customer string, count int) tokenGrant {
	for _, owner := range r.pool().rateOwners(customer) {
		if owner.Name == r.self {
			break
		}
		if r.isMarked(r.unreachable, owner.Name) {
			continue
		}
		granted, err := r.takeFrom(owner, customer, count)
		if err == nil {
			return granted
		}
		if !r.isMarked(r.unreachable, owner.Name) {
			return tokenGrant{late: true}
		}
	}
	r.recordAsked(customer) // this VM stands in for the owner, and keeps its share meanwhile
	bucket := r.follower.Holder().Bucket(grant.CustomerID(customer))
	reservation, n := bucket.ReserveUpTo(count)
	if n == 0 {
		return tokenGrant{denied: denial{noShare: !bucket.Settled(), wait: bucket.DelayFor(1)}}
	}
	return tokenGrant{epoch: reservation.Epoch(), count: n}
}

// mayBorrow reports whether other regions may have a token of a customer's rate.
func (r *rateLimiter) mayBorrow(customer string) bool {
	return !r.isMarked(r.exhausted, customer) && len(r.pool().lenders(customer)) > 0
}

// takeFromLender requests tokens from one other region, each region that can be reached in turn.
func (r *rateLimiter) takeFromLender(customer string, count int) tokenGrant {
	lenders := r.pool().lenders(customer)
	first := int(r.lent.Add(1) % uint64(max(len(lenders), 1)))
	for i := range lenders {
		lender := lenders[(first+i)%len(lenders)]
		if r.isMarked(r.unreachable, lender.Name) {
			continue
		}
		granted, err := r.takeFrom(lender, customer, count)
		if err == nil && granted.count == 0 {
			r.mark(r.exhausted, customer, exhaustedInterval)
		}
		return granted
	}
	return tokenGrant{}
}

// updateShares requests shares of the rates that this VM owns, before the first request arrives, and
// returns all others: a share at a VM that does not own the rate is unused. It is called periodically,
// because owners change with the states of VMs, and requests that found no owner leave shares behind.
func (r *rateLimiter) updateShares(customers []plan.Customer) {
	pool := r.pool()
	if pool.empty() {
		return // the owners are not known yet
	}
	for _, c := range customers {
		switch {
		case c.Rate <= 0:
		case r.needsShare(pool, &c):
			r.follower.Holder().Bucket(grant.CustomerID(c.Name))
		default:
			r.follower.Holder().Remove(grant.CustomerID(c.Name))
		}
	}
}

// needsShare reports whether this VM requests a share of a customer's rate: as its owner, in place of a lost owner, or
// since all VMs do.
func (r *rateLimiter) needsShare(pool *ratePool, c *plan.Customer) bool {
	return pool.dividesRate(c.Rate) || pool.needsShare(r.self, c.Name) || r.wasAsked(c.Name)
}

// pool returns the pool for the current list of VMs.
func (r *rateLimiter) pool() *ratePool {
	fleet := r.follower.Fleet()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.currentPool == nil || !r.currentPool.builtFrom(fleet) {
		r.currentPool = newRatePool(r.region, fleet)
	}
	return r.currentPool
}

// takeFrom requests tokens from another VM.
func (r *rateLimiter) takeFrom(owner *apipb.Vm, customer string, count int) (tokenGrant, error) {
	sent := time.Now()
	reply, err := r.call(owner.RpcAddress, &apipb.TakeRequest{Customer: customer, Count: uint32(min(count, maxTokensPerCall))})
	if err != nil {
		r.recordFailure(owner.Name, sent, err)
		return tokenGrant{}, errors.Trace(err)
	}
	r.recordReply(owner.Name)
	if !reply.Granted {
		return tokenGrant{denied: denial{noShare: reply.NoShare, wait: time.Duration(reply.DelayMs) * time.Millisecond}}, nil
	}
	return tokenGrant{source: owner.RpcAddress, epoch: reply.Epoch, count: int(min(max(reply.GrantedCount, 1), maxTokensPerCall))}, nil
}

func (r *rateLimiter) call(address string, request *apipb.TakeRequest) (*apipb.TakeReply, error) {
	client, err := r.follower.Peers().Get(address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), takeTimeout)
	defer cancel()
	reply, err := apipb.NewDRPCRatesClient(client).Take(ctx, request)
	return reply, errors.Trace(err)
}

// refund returns the token of a request that was sent to no upstream.
func (r *rateLimiter) refund(t *token) {
	if t.bucket != nil {
		t.bucket.Refund(t.reservation, 1)
		return
	}
	t.stock.putBack(t.lot)
}

// returnTokens returns tokens that were not used in time to the VM that granted them.
func (r *rateLimiter) returnTokens(customer string, lot ratetokens.Lot) {
	if lot.Source == "" {
		bucket := r.follower.Holder().Bucket(grant.CustomerID(customer))
		bucket.Refund(grant.RestoreReservation(float64(lot.Count), lot.Epoch), float64(lot.Count))
		return
	}
	_, err := r.call(lot.Source, &apipb.TakeRequest{Customer: customer, Refund: true, Epoch: lot.Epoch, Count: uint32(lot.Count)})
	if err != nil {
		r.log.WithError(err).WithField("owner", lot.Source).Debug("failed to return tokens; the customer loses as many requests of its burst")
	}
}

// isMarked reports whether a VM or customer is marked until a later time.
func (r *rateLimiter) isMarked(marks map[string]time.Time, name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(marks[name])
}

func (r *rateLimiter) mark(marks map[string]time.Time, name string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	marks[name] = time.Now().Add(d)
}

func (r *rateLimiter) recordReply(vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.timeouts, vm)
}

// timeouts counts the calls to a VM that exceeded takeTimeout one after the other.
type timeouts struct {
	n    int
	last time.Time // when the latest of them was noticed
}

// recordFailure marks a VM as lost that cannot be reached, or was late too often in a row. Calls that were late at the
// same time count once.
func (r *rateLimiter) recordFailure(vm string, sent time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(err, context.DeadlineExceeded) {
		t := r.timeouts[vm]
		if sent.Before(t.last) {
			return
		}
		t.n, t.last = t.n+1, time.Now()
		r.timeouts[vm] = t
		if t.n < maxTimeouts {
			return
		}
	}
	delete(r.timeouts, vm)
	r.unreachable[vm] = time.Now().Add(ownerRetryInterval)
	r.log.WithError(err).WithField("owner", vm).Warn("failed to take a token from the VM that owns a customer's rate; trying another one")
}

// recordAsked records that another VM asked for a token of a customer's rate.
func (r *rateLimiter) recordAsked(customer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.askedAt[customer] = time.Now()
}

// wasAsked reports whether other VMs ask this one for tokens of a rate that it does not own, since the owner is lost
// to them.
func (r *rateLimiter) wasAsked(customer string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, asked := r.askedAt[customer]
	return asked && time.Since(at) < shareRetention
}
