package lint

import (
	"fmt"

	"pistachiomount.example/pistachiomount/document"
)

// linter collects the findings about a valid document.
type linter struct {
	doc      *document.Document
	options  Options
	findings []Finding
	drained  map[string]bool
	// customers are those that may use each service.
	customers map[string][]*document.Customer
	rules     ruleSet
}

func newLinter(doc *document.Document, o Options) *linter {
	l := &linter{
		doc: doc, options: o, findings: []Finding{}, drained: map[string]bool{},
		customers: map[string][]*document.Customer{}, rules: newRuleSet(doc.Steering),
	}
	for _, d := range doc.Drains {
		if d.Region != "" {
			l.drained[d.Region] = true
		}
	}
	for i := range doc.Customers {
		for _, service := range uniqueStrings(doc.Customers[i].Services) {
			l.customers[service] = append(l.customers[service], &doc.Customers[i])
		}
	}
	return l
}

func (l *linter) add(severity Severity, code Code, path, format string, args ...any) {
	l.findings = append(l.findings, Finding{Severity: severity, Code: code, Path: path, Message: fmt.Sprintf(format, args...)})
}

func (l *linter) warn(code Code, path, format string, args ...any) {
	l.add(SeverityWarning, code, path, format, args...)
}

// callers returns the names of the customers whose requests reach a service. Those of public routes, to which only rules
// for all customers apply, have the name "".
func (l *linter) callers(s *document.Service) []string {
	var names []string
	for _, c := range l.customers[s.Name] {
		names = append(names, c.Name)
	}
	if hasPublicRoute(s) {
		names = append(names, "")
	}
	return names
}

func hasPublicRoute(s *document.Service) bool {
	for _, r := range s.Routes {
		if r.Public {
			return true
		}
	}
	return false
}

// uniqueStrings drops repeated strings, such as a service that a customer lists twice.
func uniqueStrings(list []string) []string {
	seen := map[string]bool{}
	var kept []string
	for _, s := range list {
		if !seen[s] {
			kept = append(kept, s)
		}
		seen[s] = true
	}
	return kept
}
