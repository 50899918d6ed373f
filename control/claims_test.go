package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/apipb"
)

func claimRequest(attempt uint64, body string) *apipb.ClaimRequest {
	return &apipb.ClaimRequest{
		Customer: "veracruz", Route: "/bookings", IdempotencyKey: "k1",
		BodyDigest: []byte(body), Holder: "entry", AttemptId: attempt,
	}
}

// claimRepeatedly sends the claim of one attempt repeatedly to random daemons, like an
// entry daemon that got no answer, and reports when it was granted.
func claimRepeatedly(b *simCluster, attempt uint64, granted func(uint64)) {
	rng := rand.New(rand.NewPCG(b.seed, attempt))
	for range 12 {
		n := b.nodes[rng.IntN(len(b.nodes))]
		ctx, cancel := context.WithTimeout(b.ctx, time.Duration(100+rng.IntN(900))*time.Millisecond)
		reply, err := n.service().Claim(ctx, claimRequest(attempt, "body"))
		cancel()
		if err == nil && reply.Status == apipb.ClaimStatus_CLAIM_STATUS_GRANTED {
			granted(attempt)
		}
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
}

// Guards against a request that runs twice: attempts at several entry VMs claim the same
// key while leaders fail, messages are lost and commands are proposed twice.
func TestAtMostOneAttemptIsGranted(t *testing.T) {
	answered := 0
	for seed := uint64(1); seed <= 8; seed++ {
		granted := map[uint64]int{}
		var mu sync.Mutex
		synctest.Test(t, func(t *testing.T) {
			simulateWith(t, seed, 3, func(b *simCluster) {
				is := is.New(t)
				b.net.setLoss(0.1, 0.3)
				var wg sync.WaitGroup
				for attempt := uint64(1); attempt <= 4; attempt++ {
					wg.Go(func() {
						claimRepeatedly(b, attempt, func(a uint64) { mu.Lock(); granted[a]++; mu.Unlock() })
					})
				}
				for _, n := range b.nodes {
					time.Sleep(500 * time.Millisecond)
					n.restart()
					b.net.setIsolated(b.leader().name, true)
					time.Sleep(1500 * time.Millisecond)
					for _, other := range b.nodes {
						b.net.setIsolated(other.name, false)
					}
				}
				wg.Wait()
				b.net.setLoss(0, 0)
				b.leader()
				reply := claimUntilAnswered(b, claimRequest(99, "body"))
				is.Equal(reply.Status, apipb.ClaimStatus_CLAIM_STATUS_RUNNING) // an attempt holds the claim
				reply = claimUntilAnswered(b, claimRequest(100, "other body"))
				is.Equal(reply.Status, apipb.ClaimStatus_CLAIM_STATUS_MISMATCH)
			})
		})
		if len(granted) > 1 {
			t.Errorf("seed %d: attempts granted %v, expected at most one", seed, granted)
		}
		answered += len(granted)
	}
	if answered == 0 {
		t.Error("no attempt received a grant: the faults are too severe for the test")
	}
}

func claimUntilAnswered(b *simCluster, request *apipb.ClaimRequest) *apipb.ClaimReply {
	var reply *apipb.ClaimReply
	b.eventually("an answer to a claim", func() bool {
		var err error
		reply, err = b.nodes[0].service().Claim(b.ctx, request)
		return err == nil
	})
	return reply
}
