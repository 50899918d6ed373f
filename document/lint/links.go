package lint

import (
	"fmt"
	"net/http"

	"pistachiomount.example/pistachiomount/document"
)

// requestHeadBytes is what package forward charges a link for the head of a request at least.
const requestHeadBytes = 512

// checkLinks reports links that cannot carry what steering rules send over them.
func (l *linter) checkLinks() {
	for i, link := range l.doc.Links {
		path := fmt.Sprintf("links[%d].bytes_per_second", i)
		needed := 0.0
		for j := range l.doc.Services {
			s := &l.doc.Services[j]
			needed += requestHeadBytes * l.rateOver(link, s)
			if l.isUsed(link, s) {
				l.checkBodies(path, link, s)
			}
		}
		if needed > float64(link.BytesPerSecond) {
			l.warn(CodeLinkBelowRates, path, "%d is below %.0f, the heads alone of the requests that the rules send from %q to %q if all callers enter there",
				link.BytesPerSecond, needed, link.From, link.To)
		}
	}
}

// rateOver returns the rate over a link if all customers use their rates from the region where it begins. A customer's rate
// counts for each service with the part that its number of services leaves, as the rate is one for all of them.
func (l *linter) rateOver(link document.Link, s *document.Service) float64 {
	sum := 0.0
	for _, c := range l.customers[s.Name] {
		share := c.Rate / float64(len(uniqueStrings(c.Services)))
		sum += share * l.rules.weight(s.Name, c.Name, link.From, link.To)
	}
	return sum
}

// isUsed reports whether a rule sends requests of the service over the link.
func (l *linter) isUsed(link document.Link, s *document.Service) bool {
	for _, customer := range l.callers(s) {
		if l.rules.weight(s.Name, customer, link.From, link.To) > 0 {
			return true
		}
	}
	return false
}

// checkBodies reports routes whose largest body takes longer over the link than the request may take.
func (l *linter) checkBodies(path string, link document.Link, s *document.Service) {
	for _, r := range s.Routes {
		seconds := float64(r.MaxBodyBytes) / float64(link.BytesPerSecond)
		if hasBody(r) && seconds > r.Deadline().Seconds() {
			l.warn(CodeLinkBelowBody, path, "a body of %d bytes, which route %s allows, takes %.3g s from %q to %q, and its deadline is %v",
				r.MaxBodyBytes, r.Prefix, seconds, link.From, link.To, r.Deadline())
		}
	}
}

func hasBody(r document.Route) bool {
	return r.AllowsMethod(http.MethodPost) || r.AllowsMethod(http.MethodPut) || r.AllowsMethod(http.MethodPatch)
}
