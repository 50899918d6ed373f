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

// segment is what the log knows of one of its files.
type segment struct {
	number uint64
	// lastIndex is the highest index of an entry in it. The segment can go when
	// a snapshot covers it.
	lastIndex uint64
}

func segmentHeader(number uint64) []byte {
	return binary.LittleEndian.AppendUint64([]byte(segmentMagic), number)
}

// segmentReader goes through the records of one segment.
type segmentReader struct {
	file string
	data []byte
	salt salt
	last bool // the segment may have been cut short
}

// read applies every record and returns the length of the intact part. It is 0
// when even the header of a new segment was cut short.
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

// checkTornHeader accepts a last segment that holds the beginning of its header and
// then nothing or zeros.
func (r segmentReader) checkTornHeader(header []byte) error {
	written := bytes.TrimRight(r.data, "\x00")
	if r.last && len(written) <= len(header) && bytes.HasPrefix(header, written) {
		return nil
	}
	return &CorruptError{r.file, 0, "not the header of this segment"}
}

// checkTornRecord accepts damage that reaches to the end of the last segment.
func (r segmentReader) checkTornRecord(offset int) error {
	if !r.last {
		return &CorruptError{r.file, int64(offset), "bad record in a segment that has a successor"}
	}
	if next := findIntactFrame(r.data[offset+1:], r.salt); next >= 0 {
		return &CorruptError{r.file, int64(offset), "bad record before intact ones"}
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
