package lint

import (
	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/document"
)

// Check decodes a document and returns what is wrong with it. An invalid document is not checked further.
func Check(raw []byte, o Options) *Report {
	doc, err := document.Decode(raw)
	if err != nil {
		return &Report{Findings: errorFindings(err), Changes: []document.Change{}}
	}
	l := newLinter(doc, o)
	l.checkRegions()
	l.checkServices()
	l.checkRoutes()
	l.checkRules()
	l.checkCustomers()
	l.checkClientBlocks()
	l.checkCapacities()
	l.checkLinks()
	return l.compare(o, document.Digest(raw))
}

// errorFindings returns the problems of an invalid document.
func errorFindings(err error) []Finding {
	var invalid *document.InvalidError
	if !errors.As(err, &invalid) {
		return []Finding{{Severity: SeverityError, Code: CodeInvalid, Path: "document", Message: err.Error()}}
	}
	findings := make([]Finding, len(invalid.Problems))
	for i, p := range invalid.Problems {
		findings[i] = Finding{Severity: SeverityError, Code: CodeInvalid, Path: p.Field, Line: p.Line, Message: p.Message}
	}
	return findings
}
