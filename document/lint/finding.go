package lint

import "fmt"

// Finding is one error or warning about a document.
type Finding struct {
	Severity Severity `json:"severity"`
	Code     Code     `json:"code"`
	// Path is the path of the entry, such as steering[3].weights.
	Path string `json:"path"`
	// Line counts from 1; 0 means that it is not known. Only errors have one.
	Line    int    `json:"line,omitempty"`
	Message string `json:"message"`
}

// String returns the finding on one line.
func (f Finding) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s %s: %s: %s", f.Severity, f.Code, f.Path, f.Message)
	}
	return fmt.Sprintf("%s %s: line %d: %s: %s", f.Severity, f.Code, f.Line, f.Path, f.Message)
}
