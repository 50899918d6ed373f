package plan

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/juju/errors"
)

// ErrCorrupt is returned for bytes that are not a valid encoded plan.
const ErrCorrupt = errors.ConstError("not an encoded plan")

// Kinds of lines in an encoded state. Each item has its own line, so that a delta
// contains only the lines that changed.
const (
	lineEvacuated = "evacuated"
	linePlan      = "plan"
	lineRoute     = "route"
	lineService   = "service"
	lineCustomer  = "customer"
)

// planHeader holds the scalar fields of a plan; each list item has a line of its own.
type planHeader struct {
	Number       uint64 `json:"number"`
	Base         uint64 `json:"base"`
	KeysRequired bool   `json:"keysRequired,omitempty"`
	Limits       Limits `json:"limits"`
}

// Encode returns the plan as lines. The encoding is deterministic: equal plans
// have equal bytes.
func Encode(p *Plan) ([]byte, error) {
	var b bytes.Buffer
	write := func(kind string, item any) error {
		raw, err := json.Marshal(item)
		if err != nil {
			return errors.Annotatef(err, "encode %s", kind)
		}
		writeLine(&b, kind, raw)
		return nil
	}
	if err := write(linePlan, planHeader{p.Number, p.Base, p.KeysRequired, p.Limits}); err != nil {
		return nil, errors.Trace(err)
	}
	for i := range p.Routes {
		if err := write(lineRoute, &p.Routes[i]); err != nil {
			return nil, errors.Trace(err)
		}
	}
	for i := range p.Services {
		if err := write(lineService, &p.Services[i]); err != nil {
			return nil, errors.Trace(err)
		}
	}
	for i := range p.Customers {
		if err := write(lineCustomer, &p.Customers[i]); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return b.Bytes(), nil
}

// EncodeState returns the state that entry daemons synchronize: the evacuated
// failure domains followed by the encoded plan.
func EncodeState(encodedPlan []byte, evacuated []string) []byte {
	var b bytes.Buffer
	b.Grow(len(encodedPlan) + 64)
	writeLine(&b, lineEvacuated, []byte(strings.Join(evacuated, " ")))
	b.Write(encodedPlan)
	return b.Bytes()
}

func writeLine(b *bytes.Buffer, kind string, rest []byte) {
	b.WriteString(kind)
	b.WriteByte(' ')
	b.Write(rest)
	b.WriteByte('\n')
}

// DecodeState decodes the output of EncodeState. It returns the plan and the
// evacuated failure domains, and ignores lines of unknown kind.
func DecodeState(raw []byte) (*Plan, []string, error) { return decodeState(raw, "") }

// DecodeWithoutRoutes decodes the output of EncodeState but for the routes, which are nearly all of a large
// plan.
func DecodeWithoutRoutes(raw []byte) (*Plan, error) {
	p, _, err := decodeState(raw, lineRoute)
	return p, errors.Trace(err)
}

// decodeState decodes the lines of all kinds but the given one.
func decodeState(raw []byte, skipped string) (*Plan, []string, error) {
	p := &Plan{}
	var evacuated []string
	for line := range bytes.Lines(raw) {
		kind, rest, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\n")), []byte(" "))
		switch string(kind) {
		case skipped:
			continue
		case lineEvacuated:
			evacuated = strings.Fields(string(rest))
			continue
		}
		if err := p.decodeLine(string(kind), rest); err != nil {
			return nil, nil, errors.Annotatef(ErrCorrupt, "line %q: %v", kind, err)
		}
	}
	if p.Number == 0 {
		return nil, nil, errors.Annotate(ErrCorrupt, "plan line missing or version 0")
	}
	return p, evacuated, nil
}

func (p *Plan) decodeLine(kind string, rest []byte) error {
	switch kind {
	case linePlan:
		var h planHeader
		err := json.Unmarshal(rest, &h)
		p.Number, p.Base, p.KeysRequired, p.Limits = h.Number, h.Base, h.KeysRequired, h.Limits
		return err
	case lineRoute:
		return decodeItem(rest, &p.Routes)
	case lineService:
		return decodeItem(rest, &p.Services)
	case lineCustomer:
		return decodeItem(rest, &p.Customers)
	}
	return nil // unknown kind, written by a newer version
}

func decodeItem[T any](raw []byte, list *[]T) error {
	var item T
	if err := json.Unmarshal(raw, &item); err != nil {
		return err
	}
	*list = append(*list, item)
	return nil
}
