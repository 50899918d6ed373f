package document

import (
	"crypto/sha256"
	"encoding/hex"
)

// Key is a caller's key, stored only as a digest. Removing a key from the document
// revokes it.
type Key struct {
	ID string `yaml:"id"`
	// SHA256 is the digest of the key in hexadecimal.
	SHA256 string `yaml:"sha256"`
}

// KeyDigest returns the digest under which a caller's key is looked up.
func KeyDigest(key string) [sha256.Size]byte {
	return sha256.Sum256([]byte(key))
}

func (k *Key) digest() ([sha256.Size]byte, bool) {
	var d [sha256.Size]byte
	raw, err := hex.DecodeString(k.SHA256)
	if err != nil || len(raw) != len(d) {
		return d, false
	}
	copy(d[:], raw)
	return d, true
}
