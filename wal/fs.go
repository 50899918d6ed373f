package wal

import "io"

// FS is the part of a file system that a log needs. Tests replace it to inject
// failures.
type FS interface {
	// Open opens a file with the flags of package os, creating files with mode 0600.
	Open(name string, flag int) (File, error)
	// ReadDirNames returns the sorted names of the entries of a directory.
	ReadDirNames(dir string) ([]string, error)
	// MkdirAll creates a directory and its missing parents durably.
	MkdirAll(dir string) error
	// Rename renames a file and replaces an existing one. It is durable after SyncDir.
	Rename(from, to string) error
	// Remove removes a file. The removal is durable after SyncDir.
	Remove(name string) error
	// SyncDir makes the entries of a directory durable.
	SyncDir(dir string) error
	// Lock locks a file until the result is closed. It returns ErrLocked when
	// another process, or another log in the same process, holds the lock.
	Lock(name string) (io.Closer, error)
}

// File is an open file. Writes append to it.
type File interface {
	io.Reader
	io.Writer
	io.Closer
	// Sync makes the content of the file durable.
	Sync() error
	// Truncate changes the size of the file.
	Truncate(size int64) error
}
