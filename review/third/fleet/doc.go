// Package fleet starts the daemons of the deploy file as separate processes on loopback addresses, with settings
// files like those of a small deployment, and stand-ins of the platform's list, of upstreams, of operators and of
// callers. The cases of this review use it.
package fleet
