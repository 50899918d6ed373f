package forward

import "time"

const (
	// maxBufferedAnswer is the largest answer that is held back until it is whole.
	maxBufferedAnswer = 1 << 20
	// linkReserve is charged before an attempt for the first read of its answer.
	linkReserve = 64 << 10
	// headOverhead estimates the request line, status line and own headers.
	headOverhead = 512
	// maxKeyBytes bounds an Idempotency-Key, which is stored by every control VM.
	maxKeyBytes = 255
	// maxCallerDeadline is above every route deadline; more is a caller's mistake.
	maxCallerDeadline = 24 * time.Hour
	// completeTries bounds the recording of one outcome.
	completeTries = 4
)

// Limits bound what callers and upstreams may use.
type Limits struct {
	// HeaderBytes and HeaderCount bound the headers of a request.
	HeaderBytes, HeaderCount int
	// BodyMemory bounds the request bodies held at the same time, in bytes.
	BodyMemory int64
	// WriteStall aborts a caller that takes nothing for so long.
	WriteStall time.Duration
	// StaleStream is how long answers on routes that need a key go on after
	// the view stopped being fresh.
	StaleStream time.Duration
	// Attempts bounds the attempts of a request on an idempotent route.
	Attempts int
	// StoredOutcome is the largest answer body kept with a claim or job.
	StoredOutcome int
	// CompleteTimeout bounds each try to record an outcome.
	CompleteTimeout time.Duration
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.HeaderBytes, 32<<10)
	setDefault(&l.HeaderCount, 100)
	setDefault(&l.BodyMemory, 128<<20)
	setDefault(&l.WriteStall, 20*time.Second)
	setDefault(&l.StaleStream, 2*time.Second)
	setDefault(&l.Attempts, 3)
	setDefault(&l.StoredOutcome, 64<<10)
	setDefault(&l.CompleteTimeout, 2*time.Second)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
