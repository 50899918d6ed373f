package placement

import (
	"testing"
	"time"

	"pistachiomount.example/pistachiomount/announce"
)

// Guards against rejecting requests of a region whose upstreams leave or limit their rate while other
// regions have free slots.
func TestLimitedRegionUsesOtherRegions(t *testing.T) {
	list := append(upstreamsOf("r", "r-a", 2, 8), upstreamsOf("s", "s-a", 4, 8)...)
	table := NewTable(Location{Region: "r", FailureDomain: "r-a", VM: "vm-1"}, NewShiftLimiter(start, "r"))
	table.SetFleet(nil)
	table.SetUpstreams(start, list, true)
	table.shiftLimiter.SetInitialShares(table.InitialShares())
	sent, placed := 0, 0
	for at := time.Duration(0); at < 20*time.Second; at += 20 * time.Millisecond {
		now := start.Add(at)
		switch at {
		case 5 * time.Second:
			table.RecordAnnouncement(now, list[0].ID, leavingResponse)
		case 12 * time.Second:
			table.RecordAnnouncement(now, list[1].ID, announce.Announcement{Heard: true, Limited: true, RateLimit: 2})
		}
		u, verdict := table.Pick(now, &Query{Urgency: 1})
		if at >= 12*time.Second {
			sent++
		}
		if verdict == Placed {
			table.Done(now, u.ID, Outcome{LatencyRatio: 1})
			if at >= 12*time.Second {
				placed++
			}
		}
	}
	if placed*10 < 9*sent {
		t.Errorf("%d of %d requests placed, although another region is idle", placed, sent)
	}
}
