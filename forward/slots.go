package forward

// Slots manages this VM's slots of upstreams. TryAcquire takes a slot without waiting.
type Slots interface {
	TryAcquire(upstream string) bool
	Release(upstream string)
}
