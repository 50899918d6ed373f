package document

// Drain takes traffic away from a region or a single upstream. Exactly one of
// its fields is set.
type Drain struct {
	Region   string `yaml:"region"`
	Upstream string `yaml:"upstream"`
}
