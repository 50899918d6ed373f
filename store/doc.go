// Package store is the replicated state machine of the control daemons:
// documents with their history, claims of non-idempotent requests, and deferred
// jobs.
//
// Apply is deterministic: two stores that applied the same log entries are
// equal. It reads no clock; time comes with the commands and only drives
// retention. A Store is not safe for concurrent use.
package store
