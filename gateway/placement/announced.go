package placement

import "pistachiomount.example/pistachiomount/announce"

// announced is what an upstream has announced, and what follows from it for this VM.
type announced struct {
	announce.State
	share rateShare
}
