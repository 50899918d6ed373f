package document

import "bytes"

// Sections splits the bytes of a document at its top-level fields and at the items
// of its top-level lists. The concatenated sections are identical to the document,
// so the receiver of a delta can check the digest of the result.
func Sections(raw []byte) [][]byte {
	var sections [][]byte
	start := 0
	for pos := 0; pos < len(raw); {
		if pos > start && startsSection(raw[pos:]) {
			sections = append(sections, raw[start:pos])
			start = pos
		}
		pos += lineLength(raw[pos:])
	}
	if start < len(raw) {
		sections = append(sections, raw[start:])
	}
	return sections
}

func lineLength(raw []byte) int {
	if end := bytes.IndexByte(raw, '\n'); end >= 0 {
		return end + 1
	}
	return len(raw)
}

// startsSection reports whether a line begins a top-level field or an item of a
// list that is indented by at most two spaces.
func startsSection(line []byte) bool {
	if line[0] != ' ' && line[0] != '\n' && line[0] != '#' {
		return true
	}
	return bytes.HasPrefix(line, []byte("  - "))
}
