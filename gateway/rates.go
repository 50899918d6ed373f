package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/entry"
	"pistachiomount.example/pistachiomount/grant"
	"pistachiomount.example/pistachiomount/plan"
)

const (
	// pooledVMs is the number of VMs in a region from which they share the rates of
	// customers through one of them. With fewer, each one's own share is large
	// enough; with more, a share is a fraction of a request a second, and a request
	// would find it used up though the customer is well within its rate.
	pooledVMs = 6
	// takeTimeout bounds taking a token at another VM of the region, which is a few
	// milliseconds away. On a link of 2 Mbit/s a request body of 24 kB in front of the
	// call takes 96 ms; with 60 ms up to 700 calls a second failed at 83 VMs.
	takeTimeout = 300 * time.Millisecond
	// keeperRetry is for how long a VM that did not answer is left out.
	keeperRetry = time.Second
)

// rates admits requests within the rates of customers: with this VM's own grants, or
// with those of the VM in its region that keeps the customer's rate for all.
type rates struct {
	self     string
	region   string
	follower *entry.PlanFollower
	log      logrus.FieldLogger

	mu          sync.Mutex
	unreachable map[string]time.Time // VMs that did not answer
}

// token is one admitted request.
type token struct {
	bucket      *grant.Bucket // nil if it came from another VM
	reservation grant.Reservation
	keeper      *apipb.Vm
	customer    string
}

// take takes a token. Without one it returns when one is likely to be there.
func (r *rates) take(ctx context.Context, customer string) (*token, time.Duration) {
	for _, keeper := range keepersOf(customer, poolOf(r.region, r.follower.Fleet())) {
		if keeper.Name == r.self {
			break
		}
		if r.isUnreachable(keeper.Name) {
			continue
		}
		taken, delay, err := r.takeAt(ctx, keeper, customer)
		if err == nil {
			return taken, delay
		}
		r.markUnreachable(keeper.Name, err)
	}
	bucket := r.follower.Holder().Bucket(grant.CustomerID(customer))
	reservation, ok := bucket.Reserve(1)
	if !ok {
		return nil, bucket.DelayFor(1)
	}
	return &token{bucket: bucket, reservation: reservation}, 0
}

// keepShares asks for shares of the rates that this VM keeps, before the first request
// comes, and hands back those of others: a share left at a VM that does not keep the
// rate is of no use to anyone. It is called again and again, since who keeps a rate
// changes with the states of VMs, and requests that found no keeper leave shares behind.
func (r *rates) keepShares(customers []plan.Customer) {
	fleet := r.follower.Fleet()
	if len(fleet) == 0 {
		return // which VM keeps what is not known yet
	}
	for _, c := range customers {
		switch {
		case c.Rate <= 0:
		case keeps(r.self, c.Name, r.region, fleet):
			r.follower.Holder().Bucket(grant.CustomerID(c.Name))
		default:
			r.follower.Holder().Forget(grant.CustomerID(c.Name))
		}
	}
}

// keeps reports whether a VM asks for a share of the customer's rate: if it keeps the
// rate, or will do so once the VMs that are starting serve.
func keeps(self, customer, region string, fleet []*apipb.Vm) bool {
	for _, vms := range [][]*apipb.Vm{poolOf(region, fleet), running(region, fleet)} {
		if keepers := keepersOf(customer, vms); len(vms) < pooledVMs || keepers[0].Name == self {
			return true
		}
	}
	return false
}

// poolOf returns the VMs of a region that share rates, nil if there are too few. Those
// that are starting count only where too few serve, as after a start of all.
func poolOf(region string, fleet []*apipb.Vm) []*apipb.Vm {
	vms := running(region, fleet)
	serving := slices.DeleteFunc(slices.Clone(vms), func(vm *apipb.Vm) bool {
		return vm.State != apipb.VmState_VM_STATE_SERVING
	})
	switch {
	case len(serving) >= pooledVMs:
		return serving
	case len(vms) >= pooledVMs:
		return vms
	}
	return nil
}

// running returns the VMs of a region that serve or will do so.
func running(region string, fleet []*apipb.Vm) []*apipb.Vm {
	var vms []*apipb.Vm
	for _, vm := range fleet {
		starting := vm.State == apipb.VmState_VM_STATE_STARTING
		if vm.Region == region && vm.RpcAddress != "" && (starting || vm.State == apipb.VmState_VM_STATE_SERVING) {
			vms = append(vms, vm)
		}
	}
	return vms
}

// keeperCandidates is how many VMs are asked for a token before the own share is used.
const keeperCandidates = 2

// keepersOf returns the VMs that keep a customer's rate, the first choice first. All
// VMs of the region come to the same result.
func keepersOf(customer string, vms []*apipb.Vm) []*apipb.Vm {
	if len(vms) == 0 {
		return nil
	}
	score := func(vm *apipb.Vm) uint64 { return xxhash.Sum64String(customer + "/" + vm.Name) }
	sorted := slices.SortedFunc(slices.Values(vms), func(a, b *apipb.Vm) int {
		switch x, y := score(a), score(b); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return sorted[:min(keeperCandidates, len(sorted))]
}

func (r *rates) takeAt(ctx context.Context, keeper *apipb.Vm, customer string) (*token, time.Duration, error) {
	reply, err := r.call(ctx, keeper, &apipb.TakeRequest{Customer: customer})
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	if !reply.Granted {
		return nil, time.Duration(reply.DelayMs) * time.Millisecond, nil
	}
	return &token{reservation: grant.RestoredReservation(1, reply.Epoch), keeper: keeper, customer: customer}, 0, nil
}

func (r *rates) call(ctx context.Context, keeper *apipb.Vm, request *apipb.TakeRequest) (*apipb.TakeReply, error) {
	client, err := r.follower.Peers().Get(keeper.RpcAddress)
	if err != nil {
		return nil, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	reply, err := apipb.NewDRPCRatesClient(client).Take(ctx, request)
	return reply, errors.Trace(err)
}

// refund gives back the token of a request that was offered to no upstream.
func (r *rates) refund(t *token) {
	if t.bucket != nil {
		t.bucket.Refund(t.reservation, 1)
		return
	}
	go func() {
		// A lost refund costs the customer one request of its burst.
		_, _ = r.call(context.Background(), t.keeper, &apipb.TakeRequest{
			Customer: t.customer, Refund: true, Epoch: t.reservation.Epoch(),
		})
	}()
}

func (r *rates) isUnreachable(vm string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.unreachable[vm])
}

func (r *rates) markUnreachable(vm string, err error) {
	r.log.WithError(err).WithField("keeper", vm).Warn("no token from the VM that keeps a customer's rate; another one is asked")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreachable[vm] = time.Now().Add(keeperRetry)
}

// rateService gives tokens to the other VMs of the region.
type rateService struct {
	follower *entry.PlanFollower
}

// Take takes a token or gives one back.
func (s *rateService) Take(_ context.Context, request *apipb.TakeRequest) (*apipb.TakeReply, error) {
	bucket := s.follower.Holder().Bucket(grant.CustomerID(request.Customer))
	if request.Refund {
		bucket.Refund(grant.RestoredReservation(1, request.Epoch), 1)
		return &apipb.TakeReply{}, nil
	}
	reservation, ok := bucket.Reserve(1)
	if !ok {
		return &apipb.TakeReply{DelayMs: uint32(bucket.DelayFor(1).Milliseconds())}, nil
	}
	return &apipb.TakeReply{Granted: true, Epoch: reservation.Epoch()}, nil
}
