package steering

import "math/rand/v2"

// Rand is a source of uniformly distributed values. Implementations are safe for
// concurrent use.
type Rand interface {
	Uint64() uint64
}

// SystemRand draws from the runtime's per-thread generators.
type SystemRand struct{}

// Uint64 returns a random value.
func (SystemRand) Uint64() uint64 { return rand.Uint64() }

// fraction maps 53 random bits to a value in [0, 1).
func fraction(bits uint64) float64 { return float64(bits>>11) / (1 << 53) }

// index maps 32 random bits to a value in [0, n).
func index(bits uint32, n int) int { return int(uint64(bits) * uint64(n) >> 32) }
