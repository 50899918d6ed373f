package plan

import (
	"strings"

	"github.com/juju/errors"
)

// ErrInvalid is returned for a plan that fails validation.
const ErrInvalid = errors.ConstError("invalid plan")

// Validate returns the first violation that it finds, or nil for a valid plan.
func (p *Plan) Validate() error {
	if p.Number == 0 || p.Number <= p.Base {
		return errors.Annotatef(ErrInvalid, "version %d must be above 0 and above its base %d", p.Number, p.Base)
	}
	services, err := p.validServices()
	if err != nil {
		return errors.Trace(err)
	}
	if err := p.validRoutes(services); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(p.validCustomers())
}

func (p *Plan) validServices() (map[string]bool, error) {
	names := make(map[string]bool, len(p.Services))
	for _, s := range p.Services {
		if s.Name == "" || names[s.Name] {
			return nil, errors.Annotatef(ErrInvalid, "service name %q is empty or not unique", s.Name)
		}
		if s.Warmup < 0 || s.WarmupRate < 0 || s.MaxConnections < 0 {
			return nil, errors.Annotatef(ErrInvalid, "service %q has a negative limit", s.Name)
		}
		names[s.Name] = true
	}
	return names, nil
}

func (p *Plan) validRoutes(services map[string]bool) error {
	seen := make(map[routeKey]bool, len(p.Routes))
	for i := range p.Routes {
		r := &p.Routes[i]
		if err := r.validate(services); err != nil {
			return errors.Trace(err)
		}
		key := routeKey{r.Host, r.Prefix}
		if seen[key] {
			return errors.Annotatef(ErrInvalid, "route %q: another route has host %q and prefix %q", r.Name, r.Host, r.Prefix)
		}
		seen[key] = true
	}
	return nil
}

func (r *Route) validate(services map[string]bool) error {
	switch {
	case r.Host == "":
		return errors.Annotatef(ErrInvalid, "route %q has no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/"), !strings.HasSuffix(r.Prefix, "/"):
		return errors.Annotatef(ErrInvalid, "route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	case r.Timeout <= 0:
		return errors.Annotatef(ErrInvalid, "route %q: timeout must be above 0", r.Name)
	case r.MaxAttempts < 0 || r.Target < 0:
		return errors.Annotatef(ErrInvalid, "route %q has a negative limit", r.Name)
	case len(r.Split) == 0:
		return errors.Annotatef(ErrInvalid, "route %q has no service", r.Name)
	}
	total := 0.0
	for _, part := range r.Split {
		if !services[part.Service] {
			return errors.Annotatef(ErrInvalid, "route %q refers to unknown service %q", r.Name, part.Service)
		}
		if !(part.Weight >= 0) {
			return errors.Annotatef(ErrInvalid, "route %q: weight of service %q must not be negative", r.Name, part.Service)
		}
		total += part.Weight
	}
	if total <= 0 {
		return errors.Annotatef(ErrInvalid, "route %q: all weights are 0", r.Name)
	}
	return nil
}

func (p *Plan) validCustomers() error {
	names, keys := map[string]bool{}, map[string]string{}
	for _, c := range p.Customers {
		if c.Name == "" || names[c.Name] {
			return errors.Annotatef(ErrInvalid, "customer name %q is empty or not unique", c.Name)
		}
		names[c.Name] = true
		if !(c.Rate >= 0) || !(c.Burst >= 0) {
			return errors.Annotatef(ErrInvalid, "customer %q has a negative rate or burst", c.Name)
		}
		for _, k := range c.KeyDigests {
			if owner, taken := keys[k]; taken && owner != c.Name {
				return errors.Annotatef(ErrInvalid, "customers %q and %q share a key", owner, c.Name)
			}
			keys[k] = c.Name
		}
	}
	return nil
}
