package document

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"

	"github.com/juju/errors"
)

// ErrInvalidEdit is returned when an edit cannot be applied to a document.
const ErrInvalidEdit = errors.ConstError("document: edit cannot be applied")

var (
	numberLine    = regexp.MustCompile(`(?m)^number:[ \t]*[0-9]+[ \t]*(#.*)?$`)
	drainsSection = regexp.MustCompile(`(?m)^drains:.*\n?(^[ \t-].*\n?)*`)
)

// EditDrain returns the document with the drain added or removed and its number
// increased by one. Only the number and the drains change, so that comments are kept.
func EditDrain(raw []byte, drain Drain, remove bool) ([]byte, error) {
	doc, err := Decode(raw)
	if err != nil {
		return nil, errors.Trace(err)
	}
	drains, err := updateDrains(doc.Drains, drain, remove)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if !numberLine.Match(raw) {
		return nil, errors.Annotate(ErrInvalidEdit, "the number is not on a line of its own")
	}
	edited := numberLine.ReplaceAll(raw, []byte("number: "+strconv.FormatUint(doc.Number+1, 10)))
	edited = drainsSection.ReplaceAll(edited, nil)
	edited = append(bytes.TrimRight(edited, "\n"), '\n')
	edited = append(edited, formatDrains(drains)...)
	if _, err := Decode(edited); err != nil {
		return nil, errors.Trace(err)
	}
	return edited, nil
}

func updateDrains(drains []Drain, drain Drain, remove bool) ([]Drain, error) {
	kept := make([]Drain, 0, len(drains)+1)
	found := false
	for _, d := range drains {
		if d == drain {
			found = true
			continue
		}
		kept = append(kept, d)
	}
	if remove && !found {
		return nil, errors.Annotate(ErrInvalidEdit, "the drain does not exist")
	}
	if !remove && found {
		return nil, errors.Annotate(ErrInvalidEdit, "the drain already exists")
	}
	if !remove {
		kept = append(kept, drain)
	}
	return kept, nil
}

func formatDrains(drains []Drain) []byte {
	if len(drains) == 0 {
		return nil
	}
	var out bytes.Buffer
	out.WriteString("drains:\n")
	for _, d := range drains {
		if d.Region != "" {
			fmt.Fprintf(&out, "  - region: %s\n", d.Region)
		}
		if d.Upstream != "" {
			fmt.Fprintf(&out, "  - upstream: %s\n", d.Upstream)
		}
	}
	return out.Bytes()
}
