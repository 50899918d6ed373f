package announce

// Change is what a response changed in the state of its upstream.
type Change string

// Changes, as named in logs and metrics.
const (
	NoChange     Change = ""
	LimitBegan   Change = "limit_began"
	LimitEnded   Change = "limit_ended"
	LeavingBegan Change = "leaving_began"
	// LeavingEnded: no VM reports any more that the upstream leaves.
	LeavingEnded Change = "leaving_ended"
	PauseBegan   Change = "pause_began"
	PauseEnded   Change = "pause_ended"
)
