package plan

import (
	"crypto/sha256"
	"encoding/hex"
)

// DigestKey returns the hex-encoded SHA-256 digest of an API key. Entry daemons
// receive only digests; plaintext keys stay on the control daemons.
func DigestKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
