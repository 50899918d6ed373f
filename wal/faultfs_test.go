package wal

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
)

var errInjected = errors.New("injected failure")

// faultFS fails operation number failAt and all later ones, which simulates a power
// loss. powerLoss then truncates the files to what was synced.
type faultFS struct {
	osFS
	count, failAt int
	synced        map[string]int64
	err           error
}

func newFaultFS(failAt int) *faultFS {
	return &faultFS{failAt: failAt, synced: map[string]int64{}, err: errInjected}
}

func (f *faultFS) op() error {
	f.count++
	if f.failAt > 0 && f.count >= f.failAt {
		return f.err
	}
	return nil
}

func (f *faultFS) Open(name string, flag int) (File, error) {
	if flag != os.O_RDONLY {
		if err := f.op(); err != nil {
			return nil, err
		}
	}
	file, err := f.osFS.Open(name, flag)
	if err != nil {
		return nil, err
	}
	if _, known := f.synced[name]; !known && flag&os.O_CREATE != 0 {
		f.synced[name] = 0
	}
	return &faultFile{File: file, fs: f, name: name}, nil
}

func (f *faultFS) Rename(from, to string) error {
	if err := f.op(); err != nil {
		return err
	}
	f.synced[to] = f.synced[from]
	delete(f.synced, from)
	return f.osFS.Rename(from, to)
}

func (f *faultFS) Remove(name string) error {
	if err := f.op(); err != nil {
		return err
	}
	delete(f.synced, name)
	return f.osFS.Remove(name)
}

func (f *faultFS) SyncDir(dir string) error {
	if err := f.op(); err != nil {
		return err
	}
	return f.osFS.SyncDir(dir)
}

func (f *faultFS) Lock(name string) (io.Closer, error) {
	if err := f.op(); err != nil {
		return nil, err
	}
	return f.osFS.Lock(name)
}

// powerLoss truncates each file to its synced size plus the part of its unsynced
// bytes that keepUnsynced returns.
func (f *faultFS) powerLoss(keepUnsynced func(n int64) int64) error {
	for name, size := range f.synced {
		st, err := os.Stat(name)
		if errors.Is(err, os.ErrNotExist) || filepath.Base(name) == lockName {
			continue
		}
		if err != nil {
			return err
		}
		if extra := st.Size() - size; extra > 0 {
			size += keepUnsynced(extra)
		}
		if err := os.Truncate(name, size); err != nil {
			return err
		}
	}
	return nil
}

type faultFile struct {
	File
	fs   *faultFS
	name string
}

func (f *faultFile) Write(b []byte) (int, error) {
	if err := f.fs.op(); err != nil {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	return f.File.Write(b)
}

func (f *faultFile) Sync() error {
	if err := f.fs.op(); err != nil {
		return err
	}
	st, err := os.Stat(f.name)
	if err != nil && !strings.HasSuffix(f.name, tempSuffix) {
		return err
	}
	f.fs.synced[f.name] = st.Size()
	return f.File.Sync()
}

func (f *faultFile) Truncate(size int64) error {
	if err := f.fs.op(); err != nil {
		return err
	}
	return f.File.Truncate(size)
}
