package gateway

import (
	"context"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/entry"
	"pistachiomount.example/pistachiomount/grant"
)

// rateService serves tokens to the other VMs.
type rateService struct {
	follower *entry.PlanFollower
	// asked, if set, is called with the customer of each request for tokens.
	asked func(customer string)
}

// Take takes tokens or returns them.
func (s *rateService) Take(_ context.Context, request *apipb.TakeRequest) (*apipb.TakeReply, error) {
	bucket := s.follower.Holder().Bucket(grant.CustomerID(request.Customer))
	count := int(min(max(request.Count, 1), maxTokensPerCall))
	if request.Refund {
		bucket.Refund(grant.RestoreReservation(float64(count), request.Epoch), float64(count))
		return &apipb.TakeReply{}, nil
	}
	if s.asked != nil {
		s.asked(request.Customer)
	}
	reservation, taken := bucket.ReserveUpTo(count)
	if taken == 0 {
		return &apipb.TakeReply{DelayMs: uint32(bucket.DelayFor(1).Milliseconds()), NoShare: !bucket.Settled()}, nil
	}
	return &apipb.TakeReply{Granted: true, GrantedCount: uint32(taken), Epoch: reservation.Epoch()}, nil
}
