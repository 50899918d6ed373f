package gateway

import (
	"time"

	"pistachiomount.example/pistachiomount/demand"
	"pistachiomount.example/pistachiomount/gateway/placement"
)

// reportDemand returns what this VM's callers ask of each service.
func (g *Gateway) reportDemand() []demand.Report {
	var reports []demand.Report
	for name, s := range *g.services.Load() {
		s.permits.withTable(func(now time.Time, table *placement.Table) {
			reports = append(reports, table.ReportDemand(now, name))
		})
	}
	return reports
}

// applyDemand passes the demand of all regions to the placement tables.
func (g *Gateway) applyDemand(regions map[demand.Key]demand.Region) {
	byService := map[string]map[string]demand.Region{}
	for key, region := range regions {
		if byService[key.Service] == nil {
			byService[key.Service] = map[string]demand.Region{}
		}
		byService[key.Service][key.Region] = region
	}
	for name, s := range *g.services.Load() {
		if byService[name] == nil {
			continue
		}
		s.permits.withTable(func(_ time.Time, table *placement.Table) { table.SetDemand(byService[name]) })
	}
}
