package steering

import "time"

// LoadReport is a load measurement that an upstream reports about itself. InFlight
// includes the requests of all entry VMs. Age is the time since the measurement.
type LoadReport struct {
	UpstreamID string
	InFlight   int
	Age        time.Duration
}

// RegionReport is the measured load of a service in a region as a fraction of
// its capacity. Age is the time since the measurement, not since its arrival.
type RegionReport struct {
	Service string
	Region  string
	Load    float64
	Age     time.Duration
}
