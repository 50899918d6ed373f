package entry

import (
	"time"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/demand"
)

// demandInterval is the shortest interval between two reports of this VM's demand. Renewals may be
// more frequent.
const demandInterval = time.Second

// demandExchange reports the demand of this VM's callers with renewals and receives that of all
// regions. It is owned by the goroutine that renews.
type demandExchange struct {
	// reports returns the demand of this VM's callers by service.
	reports func() []demand.Report
	// onRegions is called with the demand of all regions.
	onRegions  func(map[demand.Key]demand.Region)
	reportedAt time.Time
}

// addTo adds the reports to a request if they are due.
func (e *demandExchange) addTo(request *apipb.RenewRequest, now time.Time) {
	if e.reports == nil || now.Sub(e.reportedAt) < demandInterval {
		return
	}
	e.reportedAt = now
	for _, r := range e.reports() {
		report := &apipb.ServiceDemand{
			Service: r.Service, Rate: float32(r.Rate), Running: float32(r.Running), Sketch: r.Sketch, Requests: uint32(r.Requests),
		}
		for region, rate := range r.Bound {
			report.Bound = append(report.Bound, &apipb.BoundRate{Region: region, Rate: float32(rate)})
		}
		request.Demands = append(request.Demands, report)
	}
}

// applyReply passes on the demand of all regions, if the reply has it.
func (e *demandExchange) applyReply(reply *apipb.RenewReply) {
	if e.onRegions == nil || len(reply.Demands) == 0 {
		return
	}
	regions := make(map[demand.Key]demand.Region, len(reply.Demands))
	for _, d := range reply.Demands {
		regions[demand.Key{Service: d.Service, Region: d.Region}] = demand.Region{
			Rate: float64(d.Rate), Running: float64(d.Running), Objects: float64(d.Objects),
			Bound: float64(d.Bound),
		}
	}
	e.onRegions(regions)
}
