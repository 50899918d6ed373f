package control

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/demand"
)

// demands merges what the entry VMs report of their callers' demand, during one term.
type demands struct {
	mu    sync.Mutex
	table *demand.Table
}

func newDemands() *demands { return &demands{table: demand.NewTable()} }

// addTo records the reports of a renewal and adds the demand of all regions to its reply.
func (d *demands) addTo(reply *apipb.RenewReply, request *apipb.RenewRequest, at clock.Instant) error {
	reports := make([]demand.Report, 0, len(request.Demands))
	for _, r := range request.Demands {
		report := demand.Report{
			Service: r.Service, Rate: float64(r.Rate), Running: float64(r.Running), Sketch: r.Sketch, Requests: int(r.Requests),
			Bound: map[string]float64{},
		}
		for _, b := range r.Bound {
			report.Bound[b.Region] = float64(b.Rate)
		}
		reports = append(reports, report)
	}
	now := time.Unix(0, 0).Add(at.Mono) // only differences matter
	d.mu.Lock()
	defer d.mu.Unlock()
	err := d.table.Record(now, request.Vm.Name, request.Vm.Region, reports)
	for key, total := range d.table.Summary(now) {
		reply.Demands = append(reply.Demands, &apipb.RegionDemand{
			Service: key.Service, Region: key.Region, Rate: float32(total.Rate), Running: float32(total.Running), Objects: uint32(total.Objects),
			Bound: float32(total.Bound),
		})
	}
	return errors.Trace(err)
}
