package entry

import (
	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/inventory"
	"pistachiomount.example/pistachiomount/steering"
)

// steeringConfig returns the steering configuration of a document.
func steeringConfig(doc *document.Document) steering.Config {
	cfg := steering.Config{RampPointsPerSecond: doc.Shift.PointsPerSecond}
	for _, r := range doc.Regions {
		cfg.Regions = append(cfg.Regions, r.Name)
	}
	for _, r := range doc.Steering {
		rule := steering.Rule{Service: r.Service, Customer: r.Customer, From: r.From}
		for _, region := range cfg.Regions {
			if weight, ok := r.Weights[region]; ok {
				rule.Weights = append(rule.Weights, steering.Weight{Region: region, Percent: float64(weight)})
			}
		}
		cfg.Rules = append(cfg.Rules, rule)
	}
	for _, s := range doc.Services {
		for region, limit := range s.RegionCapacity {
			cfg.Capacities = append(cfg.Capacities, steering.Capacity{
				Service: s.Name, Region: region, RequestsPerSecond: limit,
			})
		}
	}
	for _, d := range doc.Drains {
		if d.Region != "" {
			cfg.DrainedRegions = append(cfg.DrainedRegions, d.Region)
		}
		if d.Upstream != "" {
			cfg.DrainedUpstreams = append(cfg.DrainedUpstreams, d.Upstream)
		}
	}
	return cfg
}

// steeringUpstreams converts the upstreams whose service is in the document.
func steeringUpstreams(list []inventory.Upstream, index *document.Index) []steering.Upstream {
	upstreams := make([]steering.Upstream, 0, len(list))
	for _, u := range list {
		service := index.Service(u.Service)
		if service == nil {
			continue
		}
		state := steering.UpstreamLive
		if u.State == inventory.Leaving {
			state = steering.UpstreamLeaving
		}
		upstreams = append(upstreams, steering.Upstream{
			ID: u.ID, Service: u.Service, Region: u.Region, FailureDomain: u.FailureDomain,
			Address: u.Address.String(), State: state, Slots: int(service.SlotsPerUpstream),
		})
	}
	return upstreams
}
