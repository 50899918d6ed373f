package document

import (
	"bytes"
	"errors"
	"io"
	"regexp"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxBytes is the size of the largest document. One log entry carries a whole
// document, and a larger entry would delay the heartbeats sent after it.
const MaxBytes = 8 << 20

// Decode decodes and validates a document. An invalid document returns an
// *InvalidError that lists every problem found.
func Decode(raw []byte) (*Document, error) {
	if len(raw) > MaxBytes {
		return nil, invalid(0, "document", "is larger than 8 MiB")
	}
	file, err := parser.ParseBytes(raw, 0)
	if err != nil {
		return nil, syntaxError(err)
	}
	if err := checkStructure(file); err != nil {
		return nil, err
	}
	doc := &Document{}
	if err := strictDecode(raw, doc); err != nil {
		return nil, syntaxError(err)
	}
	setDefaults(doc)
	if problems := validate(doc, locator{file: file}); len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return doc, nil
}

// checkStructure rejects files that do not hold exactly one YAML document. It also
// rejects anchors and aliases, because they let a small file expand to any size.
func checkStructure(file *ast.File) error {
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return invalid(1, "document", "the file must hold exactly one YAML document")
	}
	finder := &aliasFinder{}
	ast.Walk(finder, file.Docs[0].Body)
	if finder.line > 0 {
		return invalid(finder.line, "document", "anchors, aliases and merge keys are not allowed")
	}
	return nil
}

func strictDecode(raw []byte, doc *Document) error {
	decoder := yaml.NewDecoder(bytes.NewReader(raw), yaml.Strict())
	if err := decoder.Decode(doc); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

type aliasFinder struct{ line int }

// Visit records the line of the first anchor, alias or merge key.
func (f *aliasFinder) Visit(node ast.Node) ast.Visitor {
	switch node.Type() {
	case ast.AnchorType, ast.AliasType, ast.MergeKeyType:
		f.line = node.GetToken().Position.Line
		return nil
	}
	return f
}

var unknownField = regexp.MustCompile(`unknown field "([^"]*)"`)

func syntaxError(err error) error {
	var yamlErr yaml.Error
	if !errors.As(err, &yamlErr) {
		return invalid(0, "document", err.Error())
	}
	line, field := 0, "document"
	if token := yamlErr.GetToken(); token != nil {
		line = token.Position.Line
		field = token.Value
	}
	message := yamlErr.GetMessage()
	if match := unknownField.FindStringSubmatch(message); match != nil {
		field, message = match[1], "unknown field"
	}
	return invalid(line, field, message)
}

func invalid(line int, field, message string) error {
	return &InvalidError{Problems: []Problem{{Line: line, Field: field, Message: message}}}
}

func setDefaults(doc *Document) {
	if doc.Shift.PointsPerSecond == 0 {
		doc.Shift.PointsPerSecond = DefaultShiftPointsPerSecond
	}
	for i := range doc.Customers {
		if doc.Customers[i].Weight == 0 {
			doc.Customers[i].Weight = 1
		}
	}
	for i := range doc.Services {
		for j := range doc.Services[i].Routes {
			setRouteDefaults(&doc.Services[i].Routes[j])
		}
	}
	for i := range doc.Steering {
		setRuleDefaults(&doc.Steering[i])
	}
}

func setRouteDefaults(r *Route) {
	if r.Mode == "" {
		r.Mode = ModeDirect
	}
	if r.DeadlineMS == 0 {
		r.DeadlineMS = DefaultDeadlineMS
	}
	if r.MaxBodyBytes == 0 {
		r.MaxBodyBytes = DefaultMaxBodyBytes
	}
}

func setRuleDefaults(r *SteeringRule) {
	if r.Customer == "" {
		r.Customer = Wildcard
	}
	if r.From == "" {
		r.From = Wildcard
	}
}
