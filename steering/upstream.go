package steering

// UpstreamState is the state of an upstream in the platform's list.
type UpstreamState uint8

// States of an upstream in the platform's list.
const (
	UpstreamLive UpstreamState = iota
	UpstreamLeaving
)

// Upstream is one entry of the platform's upstream list. ID is unique across services.
type Upstream struct {
	ID            string
	Service       string
	Region        string
	FailureDomain string
	Address       string
	State         UpstreamState
	Slots         int
}
