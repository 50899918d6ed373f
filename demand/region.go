package demand

// Region is what the callers of a region ask of one service.
type Region struct {
	// Rate is the number of requests per second.
	Rate float64
	// Running is the number of requests at upstreams.
	Running float64
	// Bound is the number of requests per second of all regions that may run in this one only.
	Bound float64
	// Objects is the number of distinct objects, 0 if not known yet.
	Objects float64
}
