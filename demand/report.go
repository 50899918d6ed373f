package demand

// Report is what the callers of one VM ask of one service.
type Report struct {
	Service string
	// Rate is the number of requests per second.
	Rate float64
	// Running is the number of requests at upstreams.
	Running float64
	// Sketch counts the distinct objects among the last Requests requests on objects.
	Sketch   []byte
	Requests int
	// Bound is the part of Rate that may run in one region only, by region.
	Bound map[string]float64
}
