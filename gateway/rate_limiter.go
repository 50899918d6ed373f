package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/entry"
	"pistachiomount.example/pistachiomount/grant"
	"pistachiomount.example/pistachiomount/plan"
)

const (
	// takeTimeout limits taking a token at another VM of the region, which is a few milliseconds away.
	// A request body of 24 kB queued ahead of the call takes 96 ms on a link of 2 Mbit/s. At 83 VMs,
	// up to 740 calls per second fail with 60 ms, and fewer than 20 with 300 ms while no VM restarts.
	takeTimeout = 300 * time.Millisecond
	// ownerRetryInterval is how long a VM that did not answer is skipped.
	ownerRetryInterval = time.Second
	// exhaustedInterval is how long a customer without a token in any region is rejected at once.
	exhaustedInterval = 100 * time.Millisecond
	// minLendingTime is the time that must be left to ask other regions for a token: their round trips,
	// and as much again for the request.
	minLendingTime = 500 * time.Millisecond
)

// rateLimiter admits requests within the rates of customers, using this VM's own grants or those of
// the VM in its region that owns the customer's rate.
type rateLimiter struct {
	self     string
	region   string
	follower *entry.PlanFollower
	log      logrus.FieldLogger

	mu          sync.Mutex
	unreachable map[string]time.Time // until when VMs that did not answer are skipped
	exhausted   map[string]time.Time // until when customers are rejected without asking other regions
	currentPool *ratePool
	lent        atomic.Uint64 // requests for tokens of other regions
}

// token admits one request.
type token struct {
	bucket      *grant.Bucket // nil if the token came from another VM
	reservation grant.Reservation
	owner       *apipb.Vm
	customer    string
}

// denial describes why there is no token.
type denial struct {
	// noShare: the VM that was asked holds no share of the rate, or one that is too new to tell, so the
	// customer may be within it.
	noShare bool
	// wait is the time until a token is likely to be available.
	wait time.Duration
}

// take returns a token, or nil and the reason. timeLeft is the time until the caller's deadline.
func (r *rateLimiter) take(ctx context.Context, customer string, timeLeft time.Duration) (*token, denial) {
	taken, denied := r.takeInRegion(ctx, customer)
	if taken != nil || timeLeft < minLendingTime || r.isMarked(r.exhausted, customer) {
		return taken, denied
	}
	lenders := r.pool().lenders(customer)
	if len(lenders) == 0 {
		return nil, denied
	}
	lender := lenders[r.lent.Add(1)%uint64(len(lenders))] // one round trip, to each region in turn
	if !r.isMarked(r.unreachable, lender.Name) {
		taken, _, err := r.takeFrom(ctx, lender, customer)
		if err == nil && taken != nil {
			return taken, denial{}
		}
		if err != nil {
			r.markUnreachable(lender.Name, err)
		}
	}
	r.mark(r.exhausted, customer, exhaustedInterval)
	return nil, denied
}

// takeInRegion takes a token from the VM of the region that owns the customer's rate, or from this VM's
// share.
func (r *rateLimiter) takeInRegion(ctx context.Context, customer string) (*token, denial) {
	for _, owner := range r.pool().rateOwners(customer) {
		if owner.Name == r.self {
			break
		}
		if r.isMarked(r.unreachable, owner.Name) {
			continue
		}
		taken, denied, err := r.takeFrom(ctx, owner, customer)
		if err == nil {
			return taken, denied
		}
		r.markUnreachable(owner.Name, err)
	}
	bucket := r.follower.Holder().Bucket(grant.CustomerID(customer))
	reservation, ok := bucket.Reserve(1)
	if !ok {
		return nil, denial{noShare: !bucket.Settled(), wait: bucket.DelayFor(1)}
	}
	return &token{bucket: bucket, reservation: reservation}, denial{}
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
		case pool.needsShare(r.self, c.Name):
			r.follower.Holder().Bucket(grant.CustomerID(c.Name))
		default:
			r.follower.Holder().Remove(grant.CustomerID(c.Name))
		}
	}
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

func (r *rateLimiter) takeFrom(ctx context.Context, owner *apipb.Vm, customer string) (*token, denial, error) {
	reply, err := r.call(ctx, owner, &apipb.TakeRequest{Customer: customer})
	if err != nil {
		return nil, denial{}, errors.Trace(err)
	}
	if !reply.Granted {
		return nil, denial{noShare: reply.NoShare, wait: time.Duration(reply.DelayMs) * time.Millisecond}, nil
	}
	return &token{reservation: grant.RestoreReservation(1, reply.Epoch), owner: owner, customer: customer}, denial{}, nil
}

func (r *rateLimiter) call(ctx context.Context, owner *apipb.Vm, request *apipb.TakeRequest) (*apipb.TakeReply, error) {
	client, err := r.follower.Peers().Get(owner.RpcAddress)
	if err != nil {
		return nil, errors.Trace(err)
	}
	// A caller that leaves does not end the call: the owner may have taken the token already, and an
	// ended call looks like an owner that does not answer.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), takeTimeout)
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
	go func() {
		_, err := r.call(context.Background(), t.owner, &apipb.TakeRequest{
			Customer: t.customer, Refund: true, Epoch: t.reservation.Epoch(),
		})
		if err != nil {
			r.log.WithError(err).WithField("owner", t.owner.Name).Debug("failed to return a token; the customer loses one request of its burst")
		}
	}()
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

func (r *rateLimiter) markUnreachable(vm string, err error) {
	r.log.WithError(err).WithField("owner", vm).Warn("failed to take a token from the VM that owns a customer's rate; trying another one")
	r.mark(r.unreachable, vm, ownerRetryInterval)
}

// rateService serves tokens to the other VMs of the region.
type rateService struct {
	follower *entry.PlanFollower
}

// Take takes a token or returns one.
func (s *rateService) Take(_ context.Context, request *apipb.TakeRequest) (*apipb.TakeReply, error) {
	bucket := s.follower.Holder().Bucket(grant.CustomerID(request.Customer))
	if request.Refund {
		bucket.Refund(grant.RestoreReservation(1, request.Epoch), 1)
		return &apipb.TakeReply{}, nil
	}
	reservation, ok := bucket.Reserve(1)
	if !ok {
		return &apipb.TakeReply{DelayMs: uint32(bucket.DelayFor(1).Milliseconds()), NoShare: !bucket.Settled()}, nil
	}
	return &apipb.TakeReply{Granted: true, Epoch: reservation.Epoch()}, nil
}
