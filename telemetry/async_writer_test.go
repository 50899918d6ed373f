package telemetry_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/telemetry"
)

// blockedWriter is a log destination whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (w *blockedWriter) Write(line []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.Write(line)
}

// Guards against a stalled reader of the log that blocks the code that logs.
func TestAsyncWriterDropsLinesWhenBlocked(t *testing.T) {
	is := is.New(t)
	blocked := &blockedWriter{release: make(chan struct{})}
	w := telemetry.NewAsyncWriter(blocked)
	for range 5000 {
		n, err := w.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	dropped := w.Dropped()
	is.True(dropped >= 3000)
	close(blocked.release)
	w.Close()
	blocked.mu.Lock()
	defer blocked.mu.Unlock()
	is.Equal(strings.Count(blocked.got.String(), "\n")+int(dropped), 5000) // each line is either written or counted as dropped
}
