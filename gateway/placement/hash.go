package placement

import "github.com/cespare/xxhash/v2"

func hashOf(name string) uint64 { return xxhash.Sum64String(name) }

// ObjectHash returns the hash of an object's name, which is never 0.
func ObjectHash(name string) uint64 {
	if h := xxhash.Sum64String(name); h != 0 {
		return h
	}
	return 1
}
