package document

// Link limits the traffic of all services from one region to another. Each
// direction is a separate link.
type Link struct {
	From string `yaml:"from"`
	To   string `yaml:"to"`
	// BytesPerSecond is the limit of this direction.
	BytesPerSecond uint64 `yaml:"bytes_per_second"`
}
