package lint

import "pistachiomount.example/pistachiomount/document"

// Report is the result of a check.
type Report struct {
	Findings []Finding `json:"findings"`
	// Compared is true if there is a version in force, with which the document was compared.
	Compared bool `json:"compared"`
	// Changes are the differences from the version in force.
	Changes []document.Change `json:"changes"`
}

// Count returns the number of findings of a severity.
func (r *Report) Count(severity Severity) int {
	n := 0
	for _, f := range r.Findings {
		if f.Severity == severity {
			n++
		}
	}
	return n
}
