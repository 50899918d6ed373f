package plan

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/juju/errors"
)

// maxPlanBytes bounds the output of Decompress, so that corrupt input cannot
// exhaust memory.
const maxPlanBytes = 16 << 20

// Compress compresses an encoded plan for the log and the network. A plan with
// many similar routes shrinks to about a tenth.
func Compress(raw []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := w.Write(raw); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return b.Bytes(), nil
}

// Decompress reverses Compress. It returns ErrCorrupt if the data are invalid or
// exceed maxPlanBytes.
func Decompress(compressed []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxPlanBytes+1))
	if err != nil || len(raw) > maxPlanBytes {
		return nil, errors.Annotatef(ErrCorrupt, "decompress: %v", err)
	}
	return raw, nil
}
