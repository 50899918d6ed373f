package document

import (
	"bytes"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
)

// ErrDeltaMismatch is returned when the result of a delta does not have the
// expected digest. The receiver must then fetch a snapshot.
const ErrDeltaMismatch = errors.ConstError("document: result of the delta does not have the expected digest")

// Delta returns the steps that turn the old bytes into the new ones.
func Delta(oldRaw, newRaw []byte) []*apipb.Section {
	positions := map[string]uint32{}
	for i, s := range Sections(oldRaw) {
		positions[string(s)] = uint32(i)
	}
	var steps []*apipb.Section
	for _, s := range Sections(newRaw) {
		position, found := positions[string(s)]
		steps = appendStep(steps, s, position, found)
	}
	return steps
}

// appendStep adds a section to the steps. It extends the last step if the section
// continues it.
func appendStep(steps []*apipb.Section, section []byte, position uint32, copied bool) []*apipb.Section {
	var last *apipb.Section
	if len(steps) > 0 {
		last = steps[len(steps)-1]
	}
	switch {
	case copied && last != nil && last.CopyCount > 0 && last.CopyFrom+last.CopyCount == position:
		last.CopyCount++
		return steps
	case copied:
		return append(steps, &apipb.Section{CopyFrom: position, CopyCount: 1})
	case last != nil && last.CopyCount == 0:
		last.Data = append(last.Data, section...)
		return steps
	}
	return append(steps, &apipb.Section{Data: bytes.Clone(section)})
}

// ApplyDelta applies the steps to the old bytes and returns the new bytes. It
// returns ErrDeltaMismatch if they do not have the digest.
func ApplyDelta(oldRaw []byte, steps []*apipb.Section, digest string) ([]byte, error) {
	sections := Sections(oldRaw)
	var out bytes.Buffer
	for _, step := range steps {
		if err := applyStep(&out, sections, step); err != nil {
			return nil, errors.Trace(err)
		}
	}
	if Digest(out.Bytes()) != digest {
		return nil, ErrDeltaMismatch
	}
	return out.Bytes(), nil
}

func applyStep(out *bytes.Buffer, sections [][]byte, step *apipb.Section) error {
	if step.CopyCount == 0 {
		out.Write(step.Data)
		return nil
	}
	end := uint64(step.CopyFrom) + uint64(step.CopyCount)
	if end > uint64(len(sections)) || out.Len() > MaxBytes {
		return ErrDeltaMismatch
	}
	for _, s := range sections[step.CopyFrom:end] {
		out.Write(s)
	}
	return nil
}
