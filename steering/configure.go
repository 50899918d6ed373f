package steering

import (
	"maps"
	"slices"

	"github.com/juju/errors"
)

// SetConfig applies a configuration. The first one starts at its target shares; later
// ones ramp from the current shares. On an error nothing changes.
func (s *Steerer) SetConfig(c Config) error {
	if err := c.validate(); err != nil {
		return errors.Trace(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.indexRegions(c.Regions); err != nil {
		return errors.Trace(err)
	}
	s.rampPointsPerSecond = c.RampPointsPerSecond
	if s.rampPointsPerSecond == 0 {
		s.rampPointsPerSecond = DefaultRampPointsPerSecond
	}
	s.config = c
	old := s.tables.Load()
	next := s.nextTables(old)
	s.buildClasses(old, next)
	s.setCapacities(next)
	s.publishAll(next)
	s.tables.Store(next.index())
	s.applyDrains(next)
	return nil
}

// indexRegions assigns a position to each new region. Positions are never reused,
// because requests in progress may still refer to them.
func (s *Steerer) indexRegions(names []string) error {
	fresh := 0
	for _, name := range names {
		if _, ok := s.regionIndex[name]; !ok {
			fresh++
		}
	}
	if len(s.regionIndex)+fresh > MaxRegions {
		return errors.Annotatef(ErrInvalidConfig, "%d regions exceed the maximum of %d", len(s.regionIndex)+fresh, MaxRegions)
	}
	for _, name := range names {
		if _, ok := s.regionIndex[name]; !ok {
			s.regionIndex[name] = len(s.regionIndex)
		}
	}
	return nil
}

// nextTables returns a copy of the tables with the current regions and no classes.
func (s *Steerer) nextTables(old *tables) *tables {
	next := &tables{
		regions:  make([]string, len(s.regionIndex)),
		classes:  make(map[classKey]*trafficClass),
		services: make(map[string]*service),
	}
	maps.Copy(next.services, old.services)
	for name, i := range s.regionIndex {
		next.regions[i] = name
	}
	return next
}

// service returns the service with the given name and creates it if needed.
func (t *tables) service(name string) *service {
	svc := t.services[name]
	if svc == nil {
		svc = newService(name)
		t.services[name] = svc
	}
	return svc
}

// buildClasses creates a class for every combination of customer and caller region
// that the current or earlier rules of a service name. Earlier names stay until all
// ramps of the service are complete, because their requests may be ramping toward
// different rules.
func (s *Steerer) buildClasses(old, next *tables) {
	rules := s.ruleSet()
	named := newNameSet()
	for k := range rules.targets {
		named.add(k)
	}
	all := named.clone()
	for k := range old.classes {
		all.add(k)
	}
	for key := range all.keys() {
		if target, ok := rules.target(key); ok {
			c := nextClass(old, next, key, target)
			c.orphaned = !named.contains(key)
			next.classes[key] = c
		}
	}
}

// nextClass returns the class of a key with its new target. A new class begins at the
// shares that its requests had so far.
func nextClass(old, next *tables, key classKey, target vector) *trafficClass {
	if c := old.classes[key]; c != nil {
		c.setTarget(target)
		return c
	}
	c := &trafficClass{key: key, service: next.service(key.service), current: target}
	if before := old.resolve(key.service, key.customer, key.from); before != nil {
		c.current = before.current
	}
	c.setTarget(target)
	return c
}

// ruleSet returns the target shares of the current configuration.
func (s *Steerer) ruleSet() *ruleSet {
	set := &ruleSet{targets: make(map[classKey]vector, len(s.config.Rules))}
	drained := make(map[string]bool, len(s.config.DrainedRegions))
	for _, r := range s.config.DrainedRegions {
		drained[r] = true
	}
	for _, r := range s.config.Rules {
		set.targets[r.key()] = drainedTarget(r.Weights, func(name string) int { return s.regionIndex[name] }, drained)
	}
	return set
}

func (s *Steerer) setCapacities(t *tables) {
	for _, svc := range t.services {
		for i := range svc.regions {
			svc.regions[i].capacity = 0
		}
	}
	for _, c := range s.config.Capacities {
		if i, ok := s.regionIndex[c.Region]; ok {
			t.service(c.Service).regions[i].capacity = c.RequestsPerSecond
		}
	}
}

func (s *Steerer) publishAll(t *tables) {
	for _, c := range t.classes {
		c.publish(len(t.regions))
	}
}

// dropOrphans returns the tables without the orphaned classes of services whose ramps
// are all complete. Dropping one earlier would move its requests to another class that
// is still ramping.
func (t *tables) dropOrphans() *tables {
	drop := make(map[*trafficClass]bool)
	for _, classes := range t.byService {
		ramping := slices.ContainsFunc(classes, func(c *trafficClass) bool { return c.ramping })
		for _, c := range classes {
			if c.orphaned && !ramping {
				drop[c] = true
			}
		}
	}
	if len(drop) == 0 {
		return t
	}
	next := *t
	next.classes = make(map[classKey]*trafficClass, len(t.classes))
	for k, c := range t.classes {
		if !drop[c] {
			next.classes[k] = c
		}
	}
	return next.index()
}

// applyDrains applies the configured drains to all pools. Steerer.mu is held.
func (s *Steerer) applyDrains(t *tables) {
	for _, svc := range t.services {
		total := svc.rate()
		for i := range svc.pools {
			if p := svc.pools[i].Load(); p != nil {
				p.applyDrains(slices.Contains(s.config.DrainedRegions, p.name), s.config.DrainedUpstreams, total)
			}
		}
	}
}
