package gateway

import (
	"time"

	"pistachiomount.example/pistachiomount/gateway/budget"
	"pistachiomount.example/pistachiomount/gateway/placement"
)

// service is what this VM keeps of one service.
type service struct {
	name    string
	turns   *turns
	retries *budget.Budget
}

func newService(name string, self placement.Location, pace *placement.ShiftLimiter, limits budget.Limits) *service {
	return &service{name: name, turns: newTurns(self, pace), retries: budget.New(limits, time.Now())}
}
