package document

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest returns the hexadecimal SHA-256 digest of a document's bytes.
func Digest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}
