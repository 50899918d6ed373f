// Package standin implements fakes of the systems around pistachiomount: the
// platform that publishes lists of VMs and upstreams, and the upstreams that
// run requests. The fakes speak the published protocols, keep all state in
// memory within fixed bounds, and can be switched to the failure modes of the
// real systems.
//
// Tests use the fakes in-process; the programs standin-platform and
// standin-upstream serve them over the network. README.md describes how to
// start the programs.
package standin
