package wal

import (
	"bytes"
	"encoding/binary"
	"io"
	"os"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
)

const (
	segmentMagic       = "PMWAL001"
	segmentHeaderBytes = len(segmentMagic) + 8 // magic and segment number
)

// segment describes one segment file of the log.
type segment struct {
	number uint64
	// lastIndex is the highest index of an entry in the segment. The segment can
	// be removed when a snapshot covers that index.
	lastIndex uint64
}

func segmentHeader(number uint64) []byte {
	return binary.LittleEndian.AppendUint64([]byte(segmentMagic), number)
}

// segmentReader reads the records of one segment.
type segmentReader struct {
	file string
	data []byte
	salt salt
	last bool // the last segment may end in a torn record
}

// read applies every record and returns the length of the intact part, which is 0
// if the header of a new segment is incomplete.
func (r segmentReader) read(number uint64, apply func(*apipb.WalRecord) string) (int, error) {
	header := segmentHeader(number)
	if !bytes.HasPrefix(r.data, header) {
		return 0, r.checkTornHeader(header)
	}
	offset := len(header)
	for offset < len(r.data) {
		payload, size, err := decodeFrame(r.data[offset:], r.salt)
		if err != nil {
			return offset, r.checkTornRecord(offset)
		}
		record := &apipb.WalRecord{}
		if proto.Unmarshal(payload, record) != nil {
			return 0, &CorruptError{r.file, int64(offset), "record has a correct checksum but cannot be decoded"}
		}
		if reason := apply(record); reason != "" {
			return 0, &CorruptError{r.file, int64(offset), reason}
		}
		offset += size
	}
	return offset, nil
}

// checkTornHeader accepts a last segment that holds a prefix of its header followed
// by nothing or zeros, and reports any other header as corrupt.
func (r segmentReader) checkTornHeader(header []byte) error {
	written := bytes.TrimRight(r.data, "\x00")
	if r.last && len(written) <= len(header) && bytes.HasPrefix(header, written) {
		return nil
	}
	return &CorruptError{r.file, 0, "invalid segment header"}
}

// checkTornRecord accepts an invalid record in the last segment if no intact record
// follows it, and reports any other invalid record as corrupt.
func (r segmentReader) checkTornRecord(offset int) error {
	if !r.last {
		return &CorruptError{r.file, int64(offset), "invalid record in a segment that is not the last"}
	}
	if next := findIntactFrame(r.data[offset+1:], r.salt); next >= 0 {
		return &CorruptError{r.file, int64(offset), "invalid record before an intact record"}
	}
	return nil
}

func readFile(fs FS, name string) ([]byte, error) {
	f, err := fs.Open(name, os.O_RDONLY)
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(f)
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return data, errors.Annotatef(err, "reading %s", name)
}
