package wal

import "io"

// FS is the part of a file system that a log needs. Tests replace it to inject
// failures.
type FS interface {
	// Open opens a file with the flags of package os, creating files with mode 0600.
	Open(name string, flag int) (File, error)
	// ReadDirNames lists a folder, sorted.
	ReadDirNames(dir string) ([]string, error)
	// MkdirAll makes a folder and its parents durably.
	MkdirAll(dir string) error
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes the entries of a folder durable.
	SyncDir(dir string) error
	// Lock locks a file until the result is closed. It returns ErrLocked when
	// another process, or another log in this one, holds the lock.
	Lock(name string) (io.Closer, error)
}

// File is an open file. Writes go to its end.
type File interface {
	io.Reader
	io.Writer
	io.Closer
	Sync() error
	Truncate(size int64) error
}
