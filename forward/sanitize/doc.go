// Package sanitize validates what callers send and removes what must not pass between
// callers and upstreams: API keys, identity and forwarding headers, and hop-by-hop
// headers.
package sanitize
