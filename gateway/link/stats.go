package link

import "time"

// Stats are counts of long responses.
type Stats struct {
	// Active is the number of long responses in progress.
	Active int
	// Chunks is the number of chunks that have had a turn, and Waited the time that they waited for it.
	Chunks uint64
	Waited time.Duration
}
