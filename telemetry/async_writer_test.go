package telemetry_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/telemetry"
)

// stopped is a reader of the log that takes nothing until it is released.
type stopped struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stopped) Write(line []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(line)
}

// Guards against a reader of the log that has stopped and holds up the writers.
func TestAReaderThatHasStoppedCostsLinesOnly(t *testing.T) {
	is := is.New(t)
	reader := &stopped{release: make(chan struct{})}
	w := telemetry.NewAsyncWriter(reader)
	for range 5000 {
		n, err := w.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	dropped := w.Dropped()
	is.True(dropped >= 3000)
	close(reader.release)
	w.Close()
	reader.mu.Lock()
	defer reader.mu.Unlock()
	is.Equal(strings.Count(reader.got.String(), "\n")+int(dropped), 5000) // each line is written or counted
}
