package document

// ClientBlock assigns a range of caller addresses to the nearest region.
type ClientBlock struct {
	CIDR   string `yaml:"cidr"`
	Region string `yaml:"region"`
}
