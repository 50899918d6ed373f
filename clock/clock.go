package clock

// Clock returns the current instant. Implementations are safe for concurrent use.
type Clock interface {
	Now() Instant
}
