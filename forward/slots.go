package forward

// Slots holds the slots of upstreams.
type Slots interface {
	TryAcquire(upstream string) bool
	Release(upstream string)
}
