package lint

import "pistachiomount.example/pistachiomount/document"

// Options are what a check knows beside the document.
type Options struct {
	// InForce is the version in force, nil if there is none or it is not known.
	InForce *document.Document
	// DigestInForce is the digest of the bytes of that version, empty if it is not known.
	DigestInForce string
	// Consecutive is true if the environment accepts only the number in force plus 1.
	Consecutive bool
	// MinBurst returns the least burst that the control plane grants for a rate; nil if it grants any.
	MinBurst func(rate float64) float64
}
