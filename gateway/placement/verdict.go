package placement

// Verdict is the result of the selection of an upstream.
type Verdict int

// Results of the selection.
const (
	// Placed: an upstream has capacity.
	Placed Verdict = iota
	// NoCapacity: there are eligible upstreams, but none has capacity.
	NoCapacity
	// ShiftLimited: an upstream has capacity, but in a region to which no further request may shift now.
	ShiftLimited
	// AllPaused: all eligible upstreams have asked for a pause.
	AllPaused
	// NoUpstream: no upstream is eligible for the request.
	NoUpstream
)
