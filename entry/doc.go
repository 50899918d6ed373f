// Package entry is the entry daemon: it answers look-ups and forwards callers'
// requests to upstreams, within the limits that the control daemons lease to it.
//
// It keeps no state on disk. The document in force comes from confirmed polls
// of the control daemons, the grants and the fleet list from renewals with the
// leader. What it has not heard for longer than the revocation bound it no
// longer trusts.
package entry
