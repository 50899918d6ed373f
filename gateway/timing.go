package gateway

import "time"

const (
	// listTimeout limits one read of the list.
	listTimeout = 2 * time.Second
	// maintenanceInterval is how often probes, idle connections and shares of rates are checked.
	maintenanceInterval = 250 * time.Millisecond
	// droppedReportInterval is how often the number of dropped log lines is logged.
	droppedReportInterval = 10 * time.Second
	// minAttemptTime is the least time that must be left to send a request to an upstream; no request
	// is answered faster.
	minAttemptTime = 20 * time.Millisecond
	// unknownRouteTimeout limits the deadline of a request whose route is not known. The longest
	// specified deadline is 30 s.
	unknownRouteTimeout = 30 * time.Second
	// maxCallerTimeMS limits the time that a deadline header may name, in milliseconds.
	maxCallerTimeMS = 3_600_000
	// maxFailedDials limits how many unreachable upstreams are tried. Each may take 0.6 s, see
	// egress.dialTimeout.
	maxFailedDials = 4
	// shutdownAcceptTime is how long a stopping VM accepts connections: DirectoryTTL, plus half a
	// second until the other VMs know that it leaves.
	shutdownAcceptTime = 2500 * time.Millisecond
	// shutdownReserve is the part of the shutdown timeout that is reserved for returning grants.
	shutdownReserve = 500 * time.Millisecond
	// shutdownPollInterval is how often a stopping VM checks for pending requests.
	shutdownPollInterval = 50 * time.Millisecond
	// DirectoryTTL is how long callers may cache an answer of the directory.
	DirectoryTTL = 2 * time.Second
	// maxDirectoryAddresses limits the addresses in an answer of the directory.
	maxDirectoryAddresses = 64
)
