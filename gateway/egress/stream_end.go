package egress

// StreamEnd tells how a streamed response ended.
type StreamEnd struct {
	// Complete: the body was read to its end.
	Complete bool
	// Cut: the upstream did not complete the body although it was still wanted.
	Cut bool
	// Endless: the upstream was still sending at the deadline.
	Endless bool
	// Stalled: reading waited for the caller, so the duration says nothing about the upstream.
	Stalled bool
	// Bytes is the length of what was read, and Early how much of it was passed on before the end arrived.
	Bytes, Early int64
	// Err is why the body is not complete.
	Err error
}
