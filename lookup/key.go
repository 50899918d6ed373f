package lookup

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Key returns the ranking key of a caller's connection. It includes the port
// because many callers may share one address behind NAT. A caller that keeps its
// connection keeps its key and thus its VM.
func Key(caller netip.AddrPort) uint64 {
	var b [18]byte
	addr := caller.Addr().As16()
	copy(b[:], addr[:])
	binary.BigEndian.PutUint16(b[16:], caller.Port())
	return xxhash.Sum64(b[:])
}

// rendezvousScore returns the rendezvous hashing weight of a VM, given by the hash
// of its name, for a bucket.
func rendezvousScore(vm uint64, bucket int) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], vm)
	binary.LittleEndian.PutUint64(b[8:], uint64(bucket))
	return xxhash.Sum64(b[:])
}
