package lint

import (
	"fmt"
	"maps"
	"slices"

	"pistachiomount.example/pistachiomount/document"
)

// checkServices reports services, routes and capacities that no request uses.
func (l *linter) checkServices() {
	for i := range l.doc.Services {
		s := &l.doc.Services[i]
		path := fmt.Sprintf("services[%d]", i)
		switch {
		case len(l.callers(s)) == 0:
			l.warn(CodeServiceUnused, path, "no customer may use service %q, and it has no public route", s.Name)
		case len(l.customers[s.Name]) == 0:
			l.checkPrivateRoutes(path, s)
		}
		for _, region := range slices.Sorted(maps.Keys(s.RegionCapacity)) {
			if !l.isWeighted(s.Name, region) {
				l.warn(CodeCapacityUnused, path+".region_capacity."+region, "no steering rule of service %q names the region", s.Name)
			}
		}
	}
}

// checkPrivateRoutes reports the routes that need a key of a service that no customer may use.
func (l *linter) checkPrivateRoutes(path string, s *document.Service) {
	for i, r := range s.Routes {
		if !r.Public {
			l.warn(CodeRouteUnused, fmt.Sprintf("%s.routes[%d]", path, i), "it needs a key, but no customer may use service %q", s.Name)
		}
	}
}

// isWeighted reports whether a rule of the service names the region, also with weight 0.
func (l *linter) isWeighted(service, region string) bool {
	return slices.ContainsFunc(l.doc.Steering, func(r document.SteeringRule) bool {
		_, ok := r.Weights[region]
		return ok && r.Service == service
	})
}
