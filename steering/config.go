package steering

import "github.com/juju/errors"

// Wildcard matches every customer or caller region in a rule.
const Wildcard = "*"

// MaxRegions bounds the regions that one Steerer ever sees, because orders are
// kept in fixed arrays and bit sets. The design scale has 11.
const MaxRegions = 32

// DefaultRampPointsPerSecond is the ramp pace when the configuration gives none.
const DefaultRampPointsPerSecond = 5.0

// Config is the part of a document that steering needs.
type Config struct {
	Regions    []string
	Rules      []Rule
	Capacities []Capacity
	// DrainedRegions and DrainedUpstreams get no share and no new work.
	DrainedRegions   []string
	DrainedUpstreams []string
	// RampPointsPerSecond is how fast a share moves to a new target, in percentage
	// points. Zero means DefaultPointsPerSecond.
	RampPointsPerSecond float64
}

// Rule gives the region weights for the requests of one service, from one
// customer or Any, and from one caller region or Any. The customer is more
// specific than the caller region.
type Rule struct {
	Service  string
	Customer string
	From     string
	// Weights need not sum to 100. A region listed with weight 0 gets traffic only
	// while every region with a weight is drained; a region not listed never does.
	Weights []Weight
}

func (c *Config) validate() error {
	known := make(map[string]bool, len(c.Regions))
	for _, r := range c.Regions {
		known[r] = true
	}
	seen := make(map[classKey]bool, len(c.Rules))
	for _, r := range c.Rules {
		if err := r.validate(known); err != nil {
			return err
		}
		if seen[r.key()] {
			return errors.Annotatef(ErrInvalidConfig, "rule %v occurs twice", r.key())
		}
		seen[r.key()] = true
	}
	if c.RampPointsPerSecond < 0 {
		return errors.Annotatef(ErrInvalidConfig, "negative pace %v", c.RampPointsPerSecond)
	}
	return nil
}

func (r *Rule) validate(known map[string]bool) error {
	if r.Service == "" {
		return errors.Annotate(ErrInvalidConfig, "rule without a service")
	}
	sum := 0.0
	for _, w := range r.Weights {
		if !known[w.Region] {
			return errors.Annotatef(ErrInvalidConfig, "rule %v: unknown region %q", r.key(), w.Region)
		}
		if !(w.Percent >= 0 && w.Percent <= 1e6) {
			return errors.Annotatef(ErrInvalidConfig, "rule %v: weight %v", r.key(), w.Percent)
		}
		sum += w.Percent
	}
	if sum <= 0 {
		return errors.Annotatef(ErrInvalidConfig, "rule %v: no region has a weight", r.key())
	}
	return nil
}

func (r *Rule) key() classKey {
	k := classKey{service: r.Service, customer: r.Customer, from: r.From}
	if k.customer == "" {
		k.customer = Wildcard
	}
	if k.from == "" {
		k.from = Wildcard
	}
	return k
}
