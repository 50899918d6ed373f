package document

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string `yaml:"name"`
	// SlotsPerUpstream is the number of requests that one upstream runs at once.
	SlotsPerUpstream uint32 `yaml:"slots_per_upstream"`
	// ConnectionsPerUpstream is the number of connections that one upstream accepts.
	ConnectionsPerUpstream uint32 `yaml:"connections_per_upstream"`
	// RegionCapacity is the highest rate, in requests per second, that each
	// region may receive for this service.
	RegionCapacity map[string]float64 `yaml:"region_capacity"`
	Routes         []Route            `yaml:"routes"`
}
