package placement

import "math"

// Outcome is the result of a request at an upstream.
type Outcome struct {
	// Failed: the connection broke, or the upstream returned an error of its own.
	Failed bool
	// TimedOut: the request was sent and no response arrived in time. Failed is set too.
	TimedOut bool
	// Endless: the response had no end; the upstream counts as failing at once.
	Endless bool
	// Unreachable: no connection could be established.
	Unreachable bool
	// NotSent: the request was given up before it was sent.
	NotSent bool
	// Unconnected: the time of the request ended before a connection was established. It counts as a
	// failure, but the upstream is not ejected, since the time may have been short.
	Unconnected bool
	// Restricted: the request may run in some regions only.
	Restricted bool
	// Rejected: the upstream did not run the request for lack of capacity.
	Rejected bool
	// AddressReassigned: another upstream now uses the address.
	AddressReassigned bool
	// LatencyRatio is the response time as a multiple of the route's average; 0 if unknown.
	LatencyRatio float64
	// ResponseBytes is the length of the response body; 0 if unknown.
	ResponseBytes int
	// Running and Waiting are the load reported by the upstream, valid if Reported is set.
	Running, Waiting int
	Reported         bool
	// Slots is the number of slots that the upstream reported; 0 if it reported none.
	Slots int
	// Slowness is how long work takes on the machine of the upstream, as a multiple of the usual; 0 if it was not
	// reported.
	Slowness float64
}

// RejectedWithFreeSlots reports whether the upstream rejected the request although it says that it has free
// slots.
func (o Outcome) RejectedWithFreeSlots() bool { return o.Rejected && o.Reported && o.Running < o.Slots }

// usualLatencyRatio returns the latency ratio without what the reported slowness of the machine explains.
func (o Outcome) usualLatencyRatio() float64 { return o.LatencyRatio / o.explainedSlowness() }

// explainedSlowness returns what response times are divided by because of the reported slowness.
func (o Outcome) explainedSlowness() float64 {
	return math.Min(math.Max(o.Slowness, 1), maxExplainedSlowness)
}

// notRun reports whether the upstream certainly did not run the request.
func (o Outcome) notRun() bool {
	return o.NotSent || o.Unconnected || o.Rejected || o.Unreachable || o.AddressReassigned
}
