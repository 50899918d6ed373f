package standin

// Record is the response to GET /standin/record: the requests, headers and
// secrets that an upstream received.
type Record struct {
	Upstream string `json:"upstream"`
	// Requests are the counts by key, in the order in which the keys first arrived.
	Requests []RequestCount `json:"requests"`
	// Unrecorded counts the started requests beyond the bound of Requests.
	Unrecorded int `json:"unrecorded"`
	// StartedByCustomer counts all started requests.
	StartedByCustomer map[string]int `json:"started_by_customer"`
	Totals            Totals         `json:"totals"`
	// HeaderNames are the canonical names of all headers and trailers seen.
	HeaderNames []string `json:"header_names"`
	// SecretSeen is true if a configured secret arrived; SecretLocations lists where.
	SecretSeen      bool     `json:"secret_seen"`
	SecretLocations []string `json:"secret_places"`
}

// Totals are the counters of an upstream.
type Totals struct {
	Started  int `json:"started"`
	Finished int `json:"finished"`
	// Running is the number of requests in progress, HighestRunning its maximum so far.
	Running        int `json:"running"`
	HighestRunning int `json:"highest_running"`
	// Cancelled counts requests whose client disconnected before the response.
	Cancelled int `json:"cancelled"`
	// DeadlineExceeded counts requests stopped at X-Request-Deadline-Ms.
	DeadlineExceeded int `json:"deadline_exceeded"`
	// Shed counts requests rejected because all slots and the queue were full.
	Shed int `json:"shed"`
	// Failed counts requests that a failure mode rejected without running them.
	Failed int `json:"failed"`
	// Silenced counts requests that a silent mode left without a response.
	Silenced int `json:"silenced"`
	// RejectedConnections counts connections above the limit.
	RejectedConnections int `json:"refused_connections"`
}
