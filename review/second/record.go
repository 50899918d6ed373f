package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is record.txt: what was sent, answered and run, with the seconds since the start of the script.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

// add writes a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}
