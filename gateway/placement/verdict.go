package placement

// Verdict is the result of looking for an upstream.
type Verdict int

// The verdicts.
const (
	// Placed: an upstream has room.
	Placed Verdict = iota
	// NoCapacity: there are upstreams, but none has room.
	NoCapacity
	// NoUpstream: there is no upstream that could take the request.
	NoUpstream
)
