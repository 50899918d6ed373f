package document

// ClientBlock assigns callers' addresses to the region they are nearest to.
type ClientBlock struct {
	CIDR   string `yaml:"cidr"`
	Region string `yaml:"region"`
}
