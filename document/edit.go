package document

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"

	"github.com/juju/errors"
)

// ErrInvalidEdit says that a document cannot be edited as asked.
const ErrInvalidEdit = errors.ConstError("the document cannot be edited")

var (
	numberLine    = regexp.MustCompile(`(?m)^number:[ \t]*[0-9]+[ \t]*(#.*)?$`)
	drainsSection = regexp.MustCompile(`(?m)^drains:.*\n?(^[ \t-].*\n?)*`)
)

// EditDrain returns the document with the next number and the drain added or
// removed. All other bytes stay as they are, so that comments are kept.
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
		return nil, errors.Annotate(ErrInvalidEdit, "the number does not stand on a line of its own")
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
		return nil, errors.Annotate(ErrInvalidEdit, "there is no such drain")
	}
	if !remove && found {
		return nil, errors.Annotate(ErrInvalidEdit, "the drain is there already")
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
