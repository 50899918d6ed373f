package placement

import "time"

const (
	// objectsKept is for how many objects an upstream stays warm. In a trial log
	// requests were fast up to about the 32nd other object since the last one; 25
	// leaves room for requests that come from other regions.
	objectsKept = 25
	// maxCopies bounds the upstreams of a region that keep one object.
	maxCopies = 2
	// objectSpan is how long an object counts after a request on it.
	objectSpan = 10 * time.Second
)

// objects counts the different objects that were asked for lately.
type objects struct {
	current, before map[uint64]struct{}
	since           time.Time
}

// note counts an object.
func (o *objects) note(now time.Time, object uint64) {
	if o.current == nil || now.Sub(o.since) >= objectSpan {
		o.before, o.current, o.since = o.current, map[uint64]struct{}{}, now
	}
	o.current[object] = struct{}{}
}

// count returns the number of objects in the present or in the last span,
// whichever has more.
func (o *objects) count() int { return max(len(o.current), len(o.before)) }
