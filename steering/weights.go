package steering

// Weight is the share of a region in percent.
type Weight struct {
	Region  string
	Percent float64
}

// Capacity is the load that one region can carry for one service, over the whole fleet.
type Capacity struct {
	Service           string
	Region            string
	RequestsPerSecond float64
}
