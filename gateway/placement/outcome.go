package placement

// Outcome is what became of a request at an upstream.
type Outcome struct {
	// Failed: the connection broke, or the upstream answered with an error of its own.
	Failed bool
	// Unreachable: no connection could be made.
	Unreachable bool
	// Rejected: the upstream had no room.
	Rejected bool
	// AddressReassigned: another upstream has the address.
	AddressReassigned bool
	// LatencyRatio is how long the answer took, as a multiple of what is usual; 0 if unknown.
	LatencyRatio float64
	// Running and Waiting are the upstream's report, if Reported.
	Running, Waiting int
	Reported         bool
}
