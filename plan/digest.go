package plan

import (
	"crypto/sha256"
	"encoding/hex"
)

// DigestKey returns the digest under which a key is known to entry daemons, so
// that keys in the clear stay with the control daemons.
func DigestKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
