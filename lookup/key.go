package lookup

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Key returns the key of a caller's connection. The port is part of it because
// many callers share one address behind a translator; a caller that keeps its
// connection keeps its VM.
func Key(caller netip.AddrPort) uint64 {
	var b [18]byte
	addr := caller.Addr().As16()
	copy(b[:], addr[:])
	binary.BigEndian.PutUint16(b[16:], caller.Port())
	return xxhash.Sum64(b[:])
}

// rendezvousScore is the rendezvous weight of a VM for a bucket.
func rendezvousScore(vm uint64, bucket int) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], vm)
	binary.LittleEndian.PutUint64(b[8:], uint64(bucket))
	return xxhash.Sum64(b[:])
}
