package egress

// Outcome says what is known of a request after an exchange.
type Outcome int

// The outcomes.
const (
	// Answered: the upstream's answer is there, or its beginning.
	Answered Outcome = iota
	// NotRun: the upstream did not run the request and never will.
	NotRun
	// Unknown: the upstream may have run the request, or may still.
	Unknown
)

var outcomeNames = [...]string{Answered: "answered", NotRun: "not_run", Unknown: "unknown"}

// String returns the name for logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }
