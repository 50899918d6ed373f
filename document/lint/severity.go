package lint

// Severity says whether the control plane accepts a document with a finding.
type Severity string

const (
	// SeverityError: the control plane rejects the document.
	SeverityError Severity = "error"
	// SeverityWarning: the document is accepted, but a part of it has no effect or cannot be kept.
	SeverityWarning Severity = "warning"
)
