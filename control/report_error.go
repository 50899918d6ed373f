package control

// ErrorReport is the body of every refusal.
type ErrorReport struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what went wrong.
type ErrorDetail struct {
	// Reason is machine-readable.
	Reason  string `json:"reason"`
	Message string `json:"message"`
	// Leader is where to ask instead, if the request needs the leader.
	Leader string `json:"leader,omitempty"`
}
