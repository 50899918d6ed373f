// Package sanitize checks what callers send and removes what upstreams and
// callers must not see of each other: keys, identity and forwarding headers,
// and headers that concern one connection only.
package sanitize
