// Package store is the replicated state machine of the control daemons:
// documents with their history, claims of non-idempotent requests, and deferred
// jobs.
//
// Apply is deterministic: two stores that applied the same log entries are
// equal. It reads no clock. Commands carry the time, which is only used to
// expire claims and jobs. A Store is not safe for concurrent use.
package store
