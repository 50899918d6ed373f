package gateway

import (
	"time"

	"pistachiomount.example/pistachiomount/gateway/budget"
	"pistachiomount.example/pistachiomount/gateway/placement"
)

// service is the state of one service at this VM.
type service struct {
	name    string
	permits *permitQueue
	retries *budget.Budget
}

func newService(name string, self placement.Location, shiftLimiter *placement.ShiftLimiter, limits budget.Limits) *service {
	return &service{name: name, permits: newPermitQueue(self, shiftLimiter), retries: budget.New(limits, time.Now())}
}
