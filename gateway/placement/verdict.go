package placement

// Verdict is the result of looking for an upstream.
type Verdict int

// The verdicts.
const (
	// Placed: an upstream has room.
	Placed Verdict = iota
	// Full: there are upstreams, but none has room.
	Full
	// None: there is no upstream that could take the request.
	None
)
