package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncQueueLines is the capacity of the queue, in lines.
	asyncQueueLines = 1024
	// asyncFlushTimeout bounds how long Close waits for the queued lines to be written.
	asyncFlushTimeout = 500 * time.Millisecond
)

// AsyncWriter writes lines to an io.Writer from a bounded queue. If the reader of
// the log stalls, lines are dropped and callers are not blocked.
type AsyncWriter struct {
	w       io.Writer
	lines   chan []byte
	done    chan struct{}
	once    sync.Once
	mu      sync.RWMutex // read-locked while a line is queued, so that lines is not closed meanwhile
	closed  bool
	dropped atomic.Uint64
}

// NewAsyncWriter starts a writer to w. Close must be called to stop its goroutine.
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

// Dropped returns the number of lines that were not written.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() }

// Close stops accepting lines and waits up to asyncFlushTimeout for the queued ones to
// be written.
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
			a.dropped.Add(1) // there is nowhere else to report the error
		}
	}
}
