package fleet

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{began: time.Now(), file: file}, nil
}

// Printf writes one line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
