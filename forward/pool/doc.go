// Package pool keeps the HTTP connections to upstreams. Each open connection holds a
// permit of the upstream's connection grant. Connections are numbered in the order in
// which they were opened, so that older ones can be closed after a timeout, and record
// whether any byte of a request may have been sent on them.
package pool
