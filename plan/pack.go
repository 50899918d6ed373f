package plan

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/juju/errors"
)

// maxPlanBytes bounds what Unpack returns, so that damaged bytes cannot fill the memory.
const maxPlanBytes = 16 << 20

// Compress compresses the bytes of a plan for the log and the network, where a plan of
// many similar routes takes a tenth.
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

// Decompress returns what Pack was given.
func Decompress(packed []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxPlanBytes+1))
	if err != nil || len(raw) > maxPlanBytes {
		return nil, errors.Annotatef(ErrCorrupt, "packed bytes: %v", err)
	}
	return raw, nil
}
