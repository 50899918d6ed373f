package forward

import "time"

const (
	// maxBufferedResponse is the largest answer that is held back until it is whole.
	maxBufferedResponse = 1 << 20
	// initialResponseCharge is charged before an attempt for the first read of its answer.
	initialResponseCharge = 64 << 10
	// headerOverhead estimates the request line, status line and own headers.
	headerOverhead = 512
	// maxIdempotencyKeyBytes bounds an Idempotency-Key, which is stored by every control VM.
	maxIdempotencyKeyBytes = 255
	// maxCallerDeadline is above every route deadline; more is a caller's mistake.
	maxCallerDeadline = 24 * time.Hour
	// maxCompleteAttempts bounds the recording of one outcome.
	maxCompleteAttempts = 4
)

// Limits bound what callers and upstreams may use.
type Limits struct {
	// HeaderBytes and HeaderCount bound the headers of a request.
	HeaderBytes, HeaderCount int
	// BodyMemory bounds the request bodies held at the same time, in bytes.
	BodyMemory int64
	// WriteTimeout aborts a caller that takes nothing for so long.
	WriteTimeout time.Duration
	// StaleGrace is how long answers on routes that need a key go on after
	// the view stopped being fresh.
	StaleGrace time.Duration
	// MaxAttempts bounds the attempts of a request on an idempotent route.
	MaxAttempts int
	// MaxStoredOutcome is the largest answer body kept with a claim or job.
	MaxStoredOutcome int
	// CompleteTimeout bounds each try to record an outcome.
	CompleteTimeout time.Duration
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.HeaderBytes, 32<<10)
	setDefault(&l.HeaderCount, 100)
	setDefault(&l.BodyMemory, 128<<20)
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
