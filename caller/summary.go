package caller

// Counts are the results of requests.
type Counts struct {
	Requests int `json:"requests"`
	// OK counts whole answers with a status from 200 to 299 that are not wrong.
	OK       int            `json:"ok"`
	Statuses map[string]int `json:"statuses"`
	// Rejections counts the system's rejections by reason, and
	// RejectionsByRun by what they say about the request having run.
	Rejections      map[string]int `json:"rejections"`
	RejectionsByRun map[string]int `json:"rejections_by_run"`
	// Failures counts requests without a whole answer by cause.
	Failures map[string]int `json:"failures"`
	// Wrong counts answers to another request.
	Wrong int `json:"wrong"`
	// NotSent counts requests left out because too many were in flight.
	NotSent int `json:"not_sent"`
	// LatencyMS covers the requests counted in OK.
	LatencyMS Percentiles `json:"latency_ms"`
}

// Summary is the result of a run.
type Summary struct {
	Counts
	DurationMS int64 `json:"duration_ms"`
	// ExtraAttempts counts attempts after the first of a request.
	ExtraAttempts  int   `json:"extra_attempts"`
	Lookups        int64 `json:"lookups"`
	LookupFailures int64 `json:"lookup_failures"`
	// WrongExamples tells in what the first wrong answers differed.
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
