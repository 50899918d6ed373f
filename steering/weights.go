package steering

// Weight is the share of a region in percent.
type Weight struct {
	Region  string
	Percent float64
}

// Capacity is what one region may carry for one service, for the whole fleet.
type Capacity struct {
	Service           string
	Region            string
	RequestsPerSecond float64
}
