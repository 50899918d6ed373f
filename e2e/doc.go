// Package e2e tests the built programs on loopback, with processes that are
// killed, frozen, cut off and restarted. Tests wait for conditions and assert on
// what the stand-in upstreams recorded, never on durations.
package e2e
