package steering

// UpstreamState is the state in which the platform lists an upstream.
type UpstreamState uint8

// States of an upstream in the platform's list.
const (
	UpstreamLive UpstreamState = iota
	UpstreamLeaving
)

// Upstream is one entry of the platform's upstream list. ID is unique over all
// services.
type Upstream struct {
	ID            string
	Service       string
	Region        string
	FailureDomain string
	Address       string
	State         UpstreamState
	Slots         int
}
