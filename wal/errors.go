package wal

import (
	"fmt"
	"syscall"

	"github.com/juju/errors"
)

// Errors returned by this package. Match them with errors.Is.
const (
	// ErrLocked is returned when the directory is in use by another process.
	ErrLocked = errors.ConstError("wal: directory is in use by another process")
	// ErrForeignFiles is returned when the directory holds files that this package
	// did not write.
	ErrForeignFiles = errors.ConstError("wal: directory holds files that are not part of a log")
	// ErrReadOnly is returned when the directory cannot be written.
	ErrReadOnly = errors.ConstError("wal: directory is not writable")
	// ErrCorrupt is matched by every CorruptError.
	ErrCorrupt = errors.ConstError("wal: log is corrupt")
	// ErrIdentityMismatch is returned when the directory belongs to another member
	// or cluster.
	ErrIdentityMismatch = errors.ConstError("wal: directory belongs to another member or cluster")
	// ErrWriteFailed is matched by every WriteError.
	ErrWriteFailed = errors.ConstError("wal: write failed")
	// ErrClosed is returned after the log was closed.
	ErrClosed = errors.ConstError("wal: log is closed")
	// ErrNotContiguous is returned when entries do not continue the log, or when a
	// snapshot has no index.
	ErrNotContiguous = errors.ConstError("wal: entries do not continue the log")
)

// CorruptError describes the location and reason of corruption that cannot be
// repaired.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error returns the location and reason of the corruption.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s: %s at offset %d: %s", ErrCorrupt, e.File, e.Offset, e.Reason)
}

// Is reports whether target is ErrCorrupt.
func (e *CorruptError) Is(target error) bool { return target == ErrCorrupt }

// WriteError is returned by the call that could not make data durable and by
// every later call. What a failed sync leaves on disk is unknown, so the process
// must restart and recover from what it can read.
type WriteError struct {
	Op  string
	Err error
}

// Error returns the failed operation and its cause.
func (e *WriteError) Error() string { return fmt.Sprintf("%s: %s: %v", ErrWriteFailed, e.Op, e.Err) }

// Is reports whether target is ErrWriteFailed.
func (e *WriteError) Is(target error) bool { return target == ErrWriteFailed }

// Unwrap returns the error of the operating system.
func (e *WriteError) Unwrap() error { return e.Err }

// wrapOpenError annotates an error that occurred while a directory was opened. A
// missing permission and a read-only file system become ErrReadOnly.
func wrapOpenError(dir string, err error) error {
	if errors.Is(err, syscall.EROFS) || errors.Is(err, syscall.EACCES) || errors.Is(err, syscall.EPERM) {
		return errors.Annotatef(ErrReadOnly, "%s: %v", dir, err)
	}
	return errors.Annotatef(err, "opening log in %s", dir)
}
