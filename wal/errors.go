package wal

import (
	"fmt"
	"syscall"

	"github.com/juju/errors"
)

// Errors returned by this package. Match them with errors.Is.
const (
	// ErrLocked: another process uses the folder.
	ErrLocked = errors.ConstError("wal: folder is in use by another process")
	// ErrForeignFiles: the folder holds files that this package did not write.
	ErrForeignFiles = errors.ConstError("wal: folder holds files that are not part of a log")
	// ErrReadOnly: the folder cannot be written.
	ErrReadOnly = errors.ConstError("wal: folder is not writable")
	// ErrCorrupt: matched by every CorruptError.
	ErrCorrupt = errors.ConstError("wal: log is damaged")
	// ErrIdentityMismatch: the folder belongs to another member or cluster.
	ErrIdentityMismatch = errors.ConstError("wal: folder belongs to another member or cluster")
	// ErrWriteFailed: matched by every FailedError.
	ErrWriteFailed = errors.ConstError("wal: a write failed")
	// ErrClosed: the log was closed.
	ErrClosed = errors.ConstError("wal: log is closed")
	// ErrNotContiguous: entries or a snapshot do not follow what is in the log.
	ErrNotContiguous = errors.ConstError("wal: entries do not follow the log")
)

// CorruptError names the place of damage that cannot be repaired.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s: %s at offset %d: %s", ErrCorrupt, e.File, e.Offset, e.Reason)
}

// Is reports whether target is ErrCorrupt.
func (e *CorruptError) Is(target error) bool { return target == ErrCorrupt }

// WriteError is returned by the call that could not make data durable and by
// every later call: what a failed sync leaves on disk is not known, so the
// process has to stop and start again from what it can read.
type WriteError struct {
	Op  string
	Err error
}

func (e *WriteError) Error() string { return fmt.Sprintf("%s: %s: %v", ErrWriteFailed, e.Op, e.Err) }

// Is reports whether target is ErrFailed.
func (e *WriteError) Is(target error) bool { return target == ErrWriteFailed }

// Unwrap returns the error of the operating system.
func (e *WriteError) Unwrap() error { return e.Err }

// wrapOpenError translates an error met while a folder is opened.
func wrapOpenError(dir string, err error) error {
	if errors.Is(err, syscall.EROFS) || errors.Is(err, syscall.EACCES) || errors.Is(err, syscall.EPERM) {
		return errors.Annotatef(ErrReadOnly, "%s: %v", dir, err)
	}
	return errors.Annotatef(err, "opening log in %s", dir)
}
