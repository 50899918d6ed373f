package egress

// Outcome tells what is known about a request after an exchange.
type Outcome int

// Possible outcomes.
const (
	// Answered: the upstream responded; the response is complete, or its beginning has been read.
	Answered Outcome = iota
	// NotRun: the upstream did not run the request and never will.
	NotRun
	// Unknown: the upstream may have run the request, or may still.
	Unknown
)

var outcomeNames = [...]string{Answered: "answered", NotRun: "not_run", Unknown: "unknown"}

// String returns the name used in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }
