package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncQueueLines is how many lines wait for a reader of the log that is slow.
	asyncQueueLines = 1024
	// asyncFlushTimeout bounds how long Close waits for lines that are queued.
	asyncFlushTimeout = 500 * time.Millisecond
)

// AsyncWriter writes lines from a bounded queue, so that a reader of the log that has
// stopped costs lines and holds up nothing else.
type AsyncWriter struct {
	w       io.Writer
	lines   chan []byte
	done    chan struct{}
	once    sync.Once
	mu      sync.RWMutex // held for reading while a line is queued
	closed  bool
	dropped atomic.Uint64
}

// NewAsyncWriter returns a writer that Close ends.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{w: w, lines: make(chan []byte, asyncQueueLines), done: make(chan struct{})}
	go a.run()
	return a
}

// Write queues a copy of the line, or drops it if the queue is full.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.closed {
		a.dropped.Add(1)
		return len(line), nil
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() }

// Close writes what is queued, for a bounded time.
func (a *AsyncWriter) Close() {
	a.once.Do(func() {
		a.mu.Lock()
		a.closed = true
		close(a.lines)
		a.mu.Unlock()
		select {
		case <-a.done:
		case <-time.After(asyncFlushTimeout):
		}
	})
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	for line := range a.lines {
		if _, err := a.w.Write(line); err != nil {
			a.dropped.Add(1) // there is no other place to report it
		}
	}
}
