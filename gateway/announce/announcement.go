package announce

// Announcement is what one response says about the upstream that sent it. The zero value says nothing,
// not even that there is no limit: it stands for a response that may come from another process.
type Announcement struct {
	// Heard: the response certainly came from the upstream, so that what it lacks counts too.
	Heard bool
	// Limited: the upstream names RateLimit, the requests per second that it accepts from all VMs
	// together.
	Limited   bool
	RateLimit float64
	// Invalid describes a value that could not be used; empty if there is none.
	Invalid string
}
