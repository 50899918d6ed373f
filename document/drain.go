package document

// Drain removes traffic from a region or from a single upstream. Exactly one of its
// fields is set.
type Drain struct {
	Region   string `yaml:"region"`
	Upstream string `yaml:"upstream"`
}
