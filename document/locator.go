package document

import (
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// locator finds the lines of fields in the parsed file.
type locator struct {
	file *ast.File
}

// line returns the line of the field or of its nearest ancestor that is present, or
// 0 if there is none.
func (l locator) line(field string) int {
	for field != "" {
		if line := l.exactLine(field); line > 0 {
			return line
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			return 0
		}
		field = field[:cut]
	}
	return 0
}

func (l locator) exactLine(field string) int {
	path, err := yaml.PathString("$." + field)
	if err != nil {
		return 0
	}
	node, err := path.FilterFile(l.file)
	if err != nil || node == nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}
