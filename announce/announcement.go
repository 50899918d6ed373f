package announce

import "time"

// Announcement is what one response says about the upstream that sent it. The zero value says nothing,
// not even that there is no limit: it stands for a response that may come from another process.
type Announcement struct {
	// Heard: the response certainly came from the upstream, so that what it lacks counts too.
	Heard bool
	// Limited: the upstream names RateLimit, the requests per second that it accepts from all VMs
	// together.
	Limited   bool
	RateLimit float64
	// Leaving: the upstream is shutting down and accepts no new requests.
	Leaving bool
	// Pause is how long the upstream, which has rejected the request, wants none from this VM; 0 if it
	// names no time.
	Pause time.Duration
	// Invalid describes a value that could not be used; empty if there is none.
	Invalid string
}

// Empty reports whether the announcement says nothing beyond that the upstream responded.
func (a Announcement) Empty() bool { return !a.Limited && !a.Leaving && a.Pause == 0 }
