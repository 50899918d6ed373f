package document

// Link caps the traffic of all services from one region to another. Each
// direction is a link of its own.
type Link struct {
	From string `yaml:"from"`
	To   string `yaml:"to"`
	// BytesPerSecond is the cap of this direction.
	BytesPerSecond uint64 `yaml:"bytes_per_second"`
}
