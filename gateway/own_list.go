package gateway

import "time"

const (
	// listInterval is the shortest interval at which a VM reads the list of upstreams by itself. An
	// upstream that is leaving must get no new requests a few seconds after the list shows it.
	listInterval = time.Second
	// maxListAge is the age up to which the leader's list is used while the leader accepts renewals:
	// two of its reads plus a renewal, one of which may fail.
	maxListAge = 3 * time.Second
	// maxDisconnectedListAge bounds the same while renewals fail. Rates are granted by the leader too,
	// so a VM serves hardly anyone meanwhile, and the next leader sends its list with its first grants.
	// Reads by all VMs at the loss of a leader would be thousands of calls: 7,053 on a day of 281 VMs.
	// Each VM therefore waits for a different time, so that few read during an election.
	maxDisconnectedListAge = 20 * time.Second
	// listRateShare is the share of the platform's rate that the VMs' own reads use. The rest is for
	// the leader's reads and for VMs that know of too few others.
	listRateShare = 0.5
	// disconnectedListRate is how many calls per second the VMs make together while renewals fail.
	disconnectedListRate = 20
)

// needsOwnList reports whether a VM reads the list of upstreams by itself. age is the time since the
// latest list was requested, connected how long the leader has accepted all renewals, and u the VM's
// random number from 0 to 1. A VM without any list serves nobody, so it waits longest.
func needsOwnList(age, connected time.Duration, hasList bool, u float64) bool {
	switch {
	case connected > 0:
		return age > maxListAge && connected > maxListAge // a new leader reads the list within a second
	case !hasList:
		return age > maxDisconnectedListAge
	}
	return age > maxListAge+time.Duration(u*float64(maxDisconnectedListAge-maxListAge))
}

// ownListInterval returns the interval between two reads of a VM's own at which all VMs together stay
// below the rate. calls is the number of calls that one read of each VM takes together; maxRate is the
// platform's rate in calls per second, 0 for no limit.
func ownListInterval(calls int, maxRate float64, connected bool) time.Duration {
	rate := maxRate * listRateShare
	if !connected {
		rate = disconnectedListRate
	}
	if rate <= 0 {
		return listInterval
	}
	return max(listInterval, time.Duration(float64(calls)/rate*float64(time.Second)))
}
