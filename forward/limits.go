package forward

import "time"

const (
	// maxBufferedResponse is the largest response that is buffered until it is complete.
	maxBufferedResponse = 1 << 20
	// initialResponseCharge is charged before an attempt for the first read of its
	// response.
	initialResponseCharge = 64 << 10
	// headerOverhead estimates the request line, the status line and the headers that the
	// proxy adds.
	headerOverhead = 512
	// maxIdempotencyKeyBytes limits an Idempotency-Key, which every control VM stores.
	maxIdempotencyKeyBytes = 255
	// maxCallerDeadline exceeds every route deadline; a longer one is a mistake of the
	// caller.
	maxCallerDeadline = 24 * time.Hour
	// maxCompleteAttempts limits the attempts to record one outcome.
	maxCompleteAttempts = 4
)

// Limits bounds the resources that callers and upstreams may use.
type Limits struct {
	// HeaderBytes and HeaderCount limit the headers of a request.
	HeaderBytes, HeaderCount int
	// BodyMemory limits the total size of buffered request bodies, in bytes.
	BodyMemory int64
	// ResponseMemory limits the total size of buffered responses, in bytes, beyond the first
	// freeBufferBytes of each.
	ResponseMemory int64
	// WriteTimeout is how long a write to a caller may block before its connection is
	// aborted.
	WriteTimeout time.Duration
	// StaleGrace is how long requests on routes that need a key continue after the view
	// stopped being fresh.
	StaleGrace time.Duration
	// MaxAttempts limits the attempts of a request on an idempotent route.
	MaxAttempts int
	// MaxStoredOutcome is the size of the largest response body stored with a claim or
	// job, in bytes.
	MaxStoredOutcome int
	// CompleteTimeout limits each attempt to record an outcome.
	CompleteTimeout time.Duration
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.HeaderBytes, 32<<10)
	setDefault(&l.HeaderCount, 100)
	setDefault(&l.BodyMemory, 128<<20)
	setDefault(&l.ResponseMemory, 64<<20)
	setDefault(&l.WriteTimeout, 20*time.Second)
	setDefault(&l.StaleGrace, 2*time.Second)
	setDefault(&l.MaxAttempts, 3)
	setDefault(&l.MaxStoredOutcome, 64<<10)
	setDefault(&l.CompleteTimeout, 2*time.Second)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
