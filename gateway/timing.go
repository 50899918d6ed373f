package gateway

import "time"

const (
	// listInterval is how often the list of upstreams is read. An upstream that is
	// leaving must get nothing new a few seconds after the list shows it.
	listInterval = time.Second
	// maxListAge is how old the leader's list may be: two of its readings and a
	// renewal, one of which may fail.
	maxListAge = 3 * time.Second
	// listTimeout bounds reading the list.
	listTimeout = 2 * time.Second
	// listRateShare is the part of the allowed rate that is used; the leader's readings and
	// VMs that count others too few need the rest.
	listRateShare = 0.5
	// maintenanceInterval is how often probes and idle connections are looked after.
	maintenanceInterval = 250 * time.Millisecond
	// droppedReportInterval is how often the number of dropped log lines is logged.
	droppedReportInterval = 10 * time.Second
	// minAttemptTime is the least time that must be left to offer a request to an upstream; no
	// request is answered in less.
	minAttemptTime = 20 * time.Millisecond
	// unknownRouteTimeout bounds the wait of a request whose route is not known; the longest
	// deadline on the sheets is 30 s.
	unknownRouteTimeout = 30 * time.Second
	// maxFailedDials bounds how many upstreams are tried that cannot be reached. Each may take
	// 0.6 s, see egress.dialTimeout.
	maxFailedDials = 4
	// shutdownAcceptTime is how long a stopping VM takes connections: DirectoryTTL, and half a
	// second for the others to hear that it leaves.
	shutdownAcceptTime = 2500 * time.Millisecond
	// shutdownReserve is left of the time of a planned stop for handing back grants.
	shutdownReserve = 500 * time.Millisecond
	// shutdownPollInterval is how often a stopping VM looks whether requests are under way.
	shutdownPollInterval = 50 * time.Millisecond
	// DirectoryTTL is how long callers may keep an answer of the directory.
	DirectoryTTL = 2 * time.Second
	// maxDirectoryAddresses bounds the addresses in an answer of the directory.
	maxDirectoryAddresses = 64
)
