package caller

// Counts counts requests by outcome.
type Counts struct {
	Requests int `json:"requests"`
	// OK counts complete responses with a status from 200 to 299 that match their request.
	OK       int            `json:"ok"`
	Statuses map[string]int `json:"statuses"`
	// Rejections counts the system's rejections by reason, RejectionsByRun by what
	// they state on whether the request has run.
	Rejections      map[string]int `json:"rejections"`
	RejectionsByRun map[string]int `json:"rejections_by_run"`
	// Failures counts requests without a complete response by cause.
	Failures map[string]int `json:"failures"`
	// Wrong counts responses that do not match their request.
	Wrong int `json:"wrong"`
	// NotSent counts requests that were not sent because MaxInFlight was reached.
	NotSent int `json:"not_sent"`
	// LatencyMS holds the latency percentiles of the requests counted in OK.
	LatencyMS Percentiles `json:"latency_ms"`
}

// Summary is the result of a run.
type Summary struct {
	Counts
	DurationMS int64 `json:"duration_ms"`
	// ExtraAttempts counts the attempts after the first attempt of each request.
	ExtraAttempts  int   `json:"extra_attempts"`
	Lookups        int64 `json:"lookups"`
	LookupFailures int64 `json:"lookup_failures"`
	// WrongExamples names the customer and the mismatch of the first mismatched responses.
	WrongExamples []string           `json:"wrong_examples"`
	Customers     map[string]*Counts `json:"customers"`
}

func newCounts() Counts {
	return Counts{
		Statuses:        map[string]int{},
		Rejections:      map[string]int{},
		RejectionsByRun: map[string]int{},
		Failures:        map[string]int{},
	}
}
