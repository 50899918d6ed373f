package document

import (
	"bytes"
	"crypto/sha256"
)

// Decoder decodes successive documents of one environment. The client blocks
// are by far the largest part of a document at scale and rarely change, so they
// are decoded only when their bytes have changed. The caller keeps the decoded
// blocks. The decoder keeps only their digest, because at the design scale the
// bytes alone are 25 MB.
//
// A Decoder must only be used for documents that were already accepted, because it
// does not validate unchanged client blocks again. It is not safe for concurrent
// use.
type Decoder struct {
	blocksDigest [sha256.Size]byte
	hasDigest    bool
}

// Decode decodes a document. If its client blocks are the same as those of the
// previous document, sameBlocks is true and doc has no client blocks.
func (d *Decoder) Decode(raw []byte) (doc *Document, sameBlocks bool, err error) {
	rest, blocksRaw := splitClientBlocks(raw)
	digest := sha256.Sum256(blocksRaw)
	if d.hasDigest && digest == d.blocksDigest {
		doc, err = Decode(rest)
		return doc, err == nil, err
	}
	doc, err = Decode(raw)
	if err != nil {
		return nil, false, err
	}
	d.blocksDigest, d.hasDigest = digest, true
	return doc, false, nil
}

// blocksField marks the line that starts the client blocks.
const blocksField = "\nclient_blocks:"

// splitClientBlocks splits a document into its client blocks and the rest.
func splitClientBlocks(raw []byte) (rest, blocks []byte) {
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
