package lint

import (
	"fmt"
	"path"
	"strings"

	"pistachiomount.example/pistachiomount/document"
)

// checkRoutes reports routes that hide a part of a less specific one: the longest prefix decides, and a request whose
// method that route does not allow is rejected.
func (l *linter) checkRoutes() {
	byPrefix := map[string]*document.Route{}
	for i := range l.doc.Services {
		for j := range l.doc.Services[i].Routes {
			r := &l.doc.Services[i].Routes[j]
			byPrefix[r.Prefix] = r
		}
	}
	for i, s := range l.doc.Services {
		for j := range s.Routes {
			r := &s.Routes[j]
			outer := enclosingRoute(byPrefix, r.Prefix)
			if outer == nil {
				continue
			}
			if lost := methodsLost(outer, r); len(lost) > 0 {
				l.warn(CodeRouteNarrowed, fmt.Sprintf("services[%d].routes[%d].methods", i, j),
					"%s below %s is rejected, although route %s allows it", strings.Join(lost, ", "), r.Prefix, outer.Prefix)
			}
		}
	}
}

// enclosingRoute returns the most specific route of which the prefix is a part, or nil.
func enclosingRoute(byPrefix map[string]*document.Route, prefix string) *document.Route {
	for prefix != "/" {
		prefix = path.Dir(prefix)
		if r := byPrefix[prefix]; r != nil {
			return r
		}
	}
	return nil
}

// methodsLost returns the methods of outer that inner does not allow.
func methodsLost(outer, inner *document.Route) []string {
	var lost []string
	for _, m := range outer.Methods {
		if !inner.AllowsMethod(m) {
			lost = append(lost, m)
		}
	}
	return lost
}
