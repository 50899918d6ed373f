package pace

// Reason is why an upstream is paced, as named in logs.
type Reason string

// Reasons.
const (
	// Started: the upstream has started.
	Started Reason = "started"
	// Recovered: a health check passed after an ejection.
	Recovered Reason = "recovered"
	// Returned: the evacuation of its failure domain has ended.
	Returned Reason = "evacuation_ended"
	// Paused: it has asked this VM for a pause, and requests return after it.
	Paused Reason = "pause_ended"
	// Unheard: this VM has had no response from it.
	Unheard Reason = "no_response_yet"
)
