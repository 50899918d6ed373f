package steering

import "github.com/juju/errors"

// Wildcard matches every customer or caller region in a rule.
const Wildcard = "*"

// MaxRegions bounds the regions that one Steerer sees over its lifetime, because
// region orders use fixed arrays and bit sets. The design scale has 11.
const MaxRegions = 32

// DefaultRampPointsPerSecond is the ramp pace when the configuration sets none.
const DefaultRampPointsPerSecond = 5.0

// Config is the part of a document that configures steering.
type Config struct {
	Regions    []string
	Rules      []Rule
	Capacities []Capacity
	// DrainedRegions and DrainedUpstreams get no share and no new requests.
	DrainedRegions   []string
	DrainedUpstreams []string
	// RampPointsPerSecond is how fast a share moves to a new target, in percentage points.
	// Zero means DefaultRampPointsPerSecond.
	RampPointsPerSecond float64
}

// Rule sets the region weights for the requests of one service, from one customer or
// Wildcard, and from one caller region or Wildcard. A match by customer takes
// precedence over a match by caller region.
type Rule struct {
	Service  string
	Customer string
	From     string
	// Weights need not sum to 100. A region listed with weight 0 gets traffic only while
	// every region with a positive weight is drained; an unlisted region never does.
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
			return errors.Annotatef(ErrInvalidConfig, "duplicate rule %v", r.key())
		}
		seen[r.key()] = true
	}
	if c.RampPointsPerSecond < 0 {
		return errors.Annotatef(ErrInvalidConfig, "ramp pace %v is negative", c.RampPointsPerSecond)
	}
	return nil
}

func (r *Rule) validate(known map[string]bool) error {
	if r.Service == "" {
		return errors.Annotate(ErrInvalidConfig, "rule has no service")
	}
	sum := 0.0
	for _, w := range r.Weights {
		if !known[w.Region] {
			return errors.Annotatef(ErrInvalidConfig, "rule %v: unknown region %q", r.key(), w.Region)
		}
		if !(w.Percent >= 0 && w.Percent <= 1e6) {
			return errors.Annotatef(ErrInvalidConfig, "rule %v: weight %v is out of range", r.key(), w.Percent)
		}
		sum += w.Percent
	}
	if sum <= 0 {
		return errors.Annotatef(ErrInvalidConfig, "rule %v: no region has a positive weight", r.key())
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
