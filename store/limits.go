package store

import "time"

// Bounds of the replicated state.
const (
	// MaxHistory is how many accepted documents an environment remembers, which
	// is over two weeks at 12,000 changes a day. A resend within it gets its
	// first answer.
	MaxHistory = 200_000
	// MaxClaims bounds the claims of non-idempotent requests.
	MaxClaims = 1_000_000
	// ClaimRetention is how long a claim answers repeats.
	ClaimRetention = 24 * time.Hour
	// MaxOutcomeBytes is the largest response body kept with an outcome.
	MaxOutcomeBytes = 64 << 10
	// MaxClaimBodyBytes bounds the response bodies of all claims together; the
	// oldest bodies are dropped first, the outcomes stay.
	MaxClaimBodyBytes = 64 << 20
	// MaxJobs bounds queued, started and finished jobs together.
	MaxJobs = 100_000
	// MaxJobBytes bounds the request bodies of all jobs together.
	MaxJobBytes = 64 << 20
	// JobRetention is how long the result of a job is kept.
	JobRetention = 72 * time.Hour
	// JobGracePeriod is added to a job's deadline before its holder counts as lost.
	JobGracePeriod = 30 * time.Second
	// maxRecentVersionBytes bounds the former documents that deltas are made from.
	maxRecentVersionBytes = 16 << 20
	// maxRecentVersions is how many former documents are kept. A daemon that missed more
	// changes fetches a snapshot.
	maxRecentVersions = 256
)
