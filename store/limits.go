package store

import "time"

// Limits of the replicated state.
const (
	// MaxHistory is the number of accepted documents that an environment keeps in
	// its history: over two weeks at 12,000 changes a day. A resend of a document
	// in the history gets the result of its first submission.
	MaxHistory = 200_000
	// MaxClaims is the maximum number of claims of non-idempotent requests.
	MaxClaims = 1_000_000
	// ClaimRetention is how long a claim is kept to detect repeated requests.
	ClaimRetention = 24 * time.Hour
	// MaxOutcomeBytes is the size of the largest response body kept with an outcome.
	MaxOutcomeBytes = 64 << 10
	// MaxClaimBodyBytes is the maximum total size of the response bodies of all
	// claims. Beyond it the oldest bodies are dropped and their outcomes stay.
	MaxClaimBodyBytes = 64 << 20
	// MaxJobs is the maximum number of queued, started and finished jobs together.
	MaxJobs = 100_000
	// MaxJobBytes is the maximum total size of the request bodies of all jobs.
	MaxJobBytes = 64 << 20
	// JobRetention is how long the result of a job is kept.
	JobRetention = 72 * time.Hour
	// JobGracePeriod is the time after a job's deadline at which its holder is
	// considered lost.
	JobGracePeriod = 30 * time.Second
	// maxRecentVersionBytes is the maximum total size of the recent versions from
	// which deltas are computed.
	maxRecentVersionBytes = 16 << 20
	// maxRecentVersions is the maximum number of recent versions of an environment.
	// A daemon that missed more changes fetches the whole document.
	maxRecentVersions = 256
)
