// Package entry implements the entry daemon: it answers lookups and forwards callers'
// requests to upstreams, within the limits that the control daemons lease to it.
//
// The daemon keeps no state on disk. It receives the document in force by polling
// the control daemons, and grants and the fleet list from renewals with the leader.
// A document that was not confirmed within the revocation bound (MaxViewAge) is no
// longer used for requests that need a key.
package entry
