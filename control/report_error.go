package control

// ErrorReport is the body of every error response.
type ErrorReport struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes the reason of an error.
type ErrorDetail struct {
	// Reason is machine-readable.
	Reason  string `json:"reason"`
	Message string `json:"message"`
	// Leader is the HTTP address of the leader, if only the leader can answer.
	Leader string `json:"leader,omitempty"`
}
