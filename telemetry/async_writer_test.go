package telemetry_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/telemetry"
)

// blockedWriter is a reader of the log that takes nothing until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *blockedWriter) Write(line []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(line)
}

// Guards against a reader of the log that has stopped and holds up the writers.
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
	is.Equal(strings.Count(blocked.got.String(), "\n")+int(dropped), 5000) // each line is written or counted
}
