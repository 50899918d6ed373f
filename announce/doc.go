// Package announce holds what upstreams announce about themselves in their responses, such as a limit
// of the requests per second that they accept. It does no I/O; times are passed as arguments.
package announce
