package document

import "bytes"

// Decoder decodes successive documents of one environment. The client blocks
// are by far the largest part of a document at scale and rarely change, so
// their decoded form is used again while their bytes stay the same.
//
// It is for documents that were accepted, and so checked as a whole, before. It
// is not safe for concurrent use.
type Decoder struct {
	blocksRaw []byte
	blocks    []ClientBlock
}

// Decode decodes the document. It reports whether the client blocks are those
// of the document before.
func (d *Decoder) Decode(raw []byte) (doc *Document, sameBlocks bool, err error) {
	rest, blocksRaw := cutBlocks(raw)
	if len(blocksRaw) > 0 && bytes.Equal(blocksRaw, d.blocksRaw) {
		doc, err = Decode(rest)
		if err != nil {
			return nil, false, err
		}
		doc.ClientBlocks = d.blocks
		return doc, true, nil
	}
	doc, err = Decode(raw)
	if err != nil {
		return nil, false, err
	}
	d.blocksRaw, d.blocks = bytes.Clone(blocksRaw), doc.ClientBlocks
	return doc, false, nil
}

// blocksField begins the client blocks at the start of a line.
const blocksField = "\nclient_blocks:"

// cutBlocks splits a document into the client blocks and everything else.
func cutBlocks(raw []byte) (rest, blocks []byte) {
	start := bytes.Index(raw, []byte(blocksField)) + 1
	if start == 0 {
		return raw, nil
	}
	end := start + lineLength(raw[start:])
	for end < len(raw) && !startsField(raw[end]) {
		end += lineLength(raw[end:])
	}
	rest = append(bytes.Clone(raw[:start]), raw[end:]...)
	return rest, raw[start:end]
}

// startsField reports whether a line with this first byte begins a top-level field.
func startsField(first byte) bool {
	return first >= 'a' && first <= 'z'
}
