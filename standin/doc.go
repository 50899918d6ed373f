// Package standin holds stand-ins for the systems around pistachiomount: the
// platform that publishes lists, and the upstreams that run requests. They
// speak the published protocols, keep all state in memory within fixed bounds,
// and can be switched to fail in the ways the real ones fail.
//
// They serve tests in-process and the programs standin-platform and
// standin-upstream. README.md tells how to start the programs.
package standin
