package standin

// Record is the answer of GET /standin/record: what an upstream ran and saw.
type Record struct {
	Upstream string `json:"upstream"`
	// Requests are the counts by key, in the order in which the keys came.
	Requests []RequestCount `json:"requests"`
	// Unrecorded counts the started requests beyond the bound of Requests.
	Unrecorded int `json:"unrecorded"`
	// StartedByCustomer counts all started requests.
	StartedByCustomer map[string]int `json:"started_by_customer"`
	Totals            Totals         `json:"totals"`
	// HeaderNames are the canonical names of all headers and trailers seen.
	HeaderNames []string `json:"header_names"`
	// SecretSeen is true if a configured secret arrived; SecretPlaces tells where.
	SecretSeen      bool     `json:"secret_seen"`
	SecretLocations []string `json:"secret_places"`
}

// Totals are the counters of an upstream.
type Totals struct {
	Started  int `json:"started"`
	Finished int `json:"finished"`
	// Running is the number that run now, HighestRunning the highest so far.
	Running        int `json:"running"`
	HighestRunning int `json:"highest_running"`
	// Cancelled counts requests whose client went away before the answer.
	Cancelled int `json:"cancelled"`
	// DeadlineExceeded counts requests stopped at X-Request-Deadline-Ms.
	DeadlineExceeded int `json:"deadline_exceeded"`
	// Shed counts requests refused because slots and queue were full.
	Shed int `json:"shed"`
	// Failed counts requests answered by a failure mode without running.
	Failed int `json:"failed"`
	// Silenced counts requests that got no answer on purpose.
	Silenced int `json:"silenced"`
	// RejectedConnections counts connections above the limit.
	RejectedConnections int `json:"refused_connections"`
}
