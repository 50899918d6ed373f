package wal

import (
	"io"
	"os"
	"path/filepath"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	filePermissions = 0o600
	dirPermissions  = 0o700
)

// osFS is the file system of the operating system.
type osFS struct{}

func (osFS) Open(name string, flag int) (File, error) {
	f, err := os.OpenFile(name, flag, filePermissions)
	if err != nil {
		return nil, err
	}
	return f, nil
}

func (osFS) ReadDirNames(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name()
	}
	return names, nil
}

func (fs osFS) MkdirAll(dir string) error {
	err := os.Mkdir(dir, dirPermissions)
	if errors.Is(err, os.ErrNotExist) {
		if err := fs.MkdirAll(filepath.Dir(dir)); err != nil {
			return err
		}
		err = os.Mkdir(dir, dirPermissions)
	}
	if errors.Is(err, os.ErrExist) {
		return nil
	}
	if err != nil {
		return err
	}
	return fs.SyncDir(filepath.Dir(dir))
}

func (osFS) Rename(from, to string) error { return os.Rename(from, to) }

func (osFS) Remove(name string) error { return os.Remove(name) }

func (osFS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = f.Sync()
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return err
}

func (osFS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, filePermissions)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, errors.Annotate(ErrLocked, name)
		}
		return nil, errors.Annotatef(err, "locking %s", name)
	}
	return f, nil
}
