package ratetokens

import "time"

// Lot is a number of tokens that were taken with one call.
type Lot struct {
	// Source is the RPC address of the VM that granted the tokens, Epoch the lease period of its share.
	Source string
	Epoch  uint64
	Count  int
	// Expires is when the tokens go back to their source.
	Expires time.Time
}
