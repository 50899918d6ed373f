package gateway

import "time"

const (
	// listInterval is how often the list of upstreams is read. An upstream that is
	// leaving must get nothing new a few seconds after the list shows it.
	listInterval = time.Second
	// listPatience is how old the leader's list may be: two of its readings and a
	// renewal, one of which may fail.
	listPatience = 3 * time.Second
	// listTimeout bounds reading the list.
	listTimeout = 2 * time.Second
	// listShare is the part of the allowed rate that is used; the leader's readings and
	// VMs that count others too few need the rest.
	listShare = 0.5
	// housekeepingInterval is how often probes and idle connections are looked after.
	housekeepingInterval = 250 * time.Millisecond
	// droppedInterval is how often the number of dropped log lines is logged.
	droppedInterval = 10 * time.Second
	// minLeft is the least time that must be left to offer a request to an upstream; no
	// request is answered in less.
	minLeft = 20 * time.Millisecond
	// unknownTimeout bounds the wait of a request whose route is not known; the longest
	// deadline on the sheets is 30 s.
	unknownTimeout = 30 * time.Second
	// maxDials bounds how many upstreams are tried that cannot be reached. Each may take
	// 0.6 s, see egress.dialTimeout.
	maxDials = 4
	// acceptTime is how long a stopping VM takes connections: DirectoryTTL, and half a
	// second for the others to hear that it leaves.
	acceptTime = 2500 * time.Millisecond
	// stopMargin is left of the time of a planned stop for handing back grants.
	stopMargin = 500 * time.Millisecond
	// stopCheck is how often a stopping VM looks whether requests are under way.
	stopCheck = 50 * time.Millisecond
	// DirectoryTTL is how long callers may keep an answer of the directory.
	DirectoryTTL = 2 * time.Second
	// maxDirectory bounds the addresses in an answer of the directory.
	maxDirectory = 64
)
