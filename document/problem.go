package document

import (
	"fmt"
	"strings"
)

// Problem is one reason why a document is rejected.
type Problem struct {
	// Line counts from 1; 0 means that the field is missing from the document.
	Line int
	// Field is the path of the invalid field, such as services[0].name.
	Field string
	// Message describes what is wrong and what is allowed.
	Message string
}

// String returns the problem with its line and field.
func (p Problem) String() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.Field, p.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Field, p.Message)
}

// InvalidError lists every problem found in a document.
type InvalidError struct {
	Problems []Problem
}

// Error returns all problems, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}
