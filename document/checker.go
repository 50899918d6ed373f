package document

import (
	"fmt"
	"math"
	"regexp"
)

// namePattern keeps names usable in metrics, resource names and URLs.
var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// checker collects the problems of a document.
type checker struct {
	locator  locator
	problems []Problem
}

func (c *checker) add(field, format string, args ...any) {
	c.problems = append(c.problems, Problem{
		Line:    c.locator.line(field),
		Field:   field,
		Message: fmt.Sprintf(format, args...),
	})
}

func (c *checker) name(field, name string) {
	if !namePattern.MatchString(name) {
		c.add(field, "%q is not a valid name: use up to 63 of a-z, 0-9 and '-', starting with a letter", name)
	}
}

// unique reports a name that is already in seen, and adds it to seen.
func (c *checker) unique(field, name string, seen map[string]bool) {
	if seen[name] {
		c.add(field, "duplicate name %q", name)
	}
	seen[name] = true
}

func (c *checker) known(field, kind, name string, known map[string]bool) {
	if !known[name] {
		c.add(field, "unknown %s %q", kind, name)
	}
}

func (c *checker) positive(field string, value float64) {
	if !(value > 0) || math.IsInf(value, 0) {
		c.add(field, "%v is not allowed: the value must be a finite number above 0", value)
	}
}

func (c *checker) notEmpty(field string, length int) {
	if length == 0 {
		c.add(field, "at least one entry is required")
	}
}
