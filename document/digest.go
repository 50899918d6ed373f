package document

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest returns the digest that identifies the bytes of a document.
func Digest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}
