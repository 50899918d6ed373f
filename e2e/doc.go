// Package e2e tests the built programs on loopback addresses while processes are
// killed, paused, partitioned and restarted. Tests wait for conditions and check
// what the stand-in upstreams recorded, never durations.
package e2e
