package wal

import (
	"encoding/binary"
	"hash/crc32"
	"math"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
)

const (
	frameHeaderBytes = 8 // length and checksum, four bytes each, little endian
	// maxPayloadBytes is the largest message that the protobuf library encodes.
	maxPayloadBytes = math.MaxInt32
)

// errInvalidFrame is returned when data does not begin with a complete, intact
// frame.
const errInvalidFrame = errors.ConstError("wal: no intact record")

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// salt is the initial value of the checksum of each frame of a file. It ties a
// frame to its member and file.
type salt uint32

func newSalt(member, file uint64) salt {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], member)
	binary.LittleEndian.PutUint64(b[8:], file)
	return salt(crc32.Checksum(b[:], crcTable))
}

func (s salt) checksum(payload []byte) uint32 {
	return crc32.Update(uint32(s), crcTable, payload)
}

// appendFrame encodes a message as a frame at the end of buf.
func appendFrame(buf []byte, s salt, m proto.Message) ([]byte, error) {
	start := len(buf)
	buf = append(buf, make([]byte, frameHeaderBytes)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return nil, errors.Annotate(err, "encoding record")
	}
	payload := buf[start+frameHeaderBytes:]
	if len(payload) == 0 || len(payload) > maxPayloadBytes {
		return nil, errors.Errorf("record of %d bytes cannot be written", len(payload))
	}
	binary.LittleEndian.PutUint32(buf[start:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(buf[start+4:], s.checksum(payload))
	return buf, nil
}

// decodeFrame returns the payload of the frame at the start of data and the length
// of the whole frame. An empty payload is never written and never accepted, so a
// run of zeros is not a frame.
func decodeFrame(data []byte, s salt) (payload []byte, size int, err error) {
	if len(data) < frameHeaderBytes {
		return nil, 0, errInvalidFrame
	}
	length := uint64(binary.LittleEndian.Uint32(data))
	if length == 0 || length > uint64(len(data)-frameHeaderBytes) {
		return nil, 0, errInvalidFrame
	}
	size = frameHeaderBytes + int(length)
	payload = data[frameHeaderBytes:size]
	if s.checksum(payload) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, 0, errInvalidFrame
	}
	return payload, size, nil
}

// findIntactFrame returns the offset of the first intact frame at any position of
// data, or -1 if there is none.
func findIntactFrame(data []byte, s salt) int {
	for i := range data {
		if _, _, err := decodeFrame(data[i:], s); err == nil {
			return i
		}
	}
	return -1
}
