package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/gateway/announce"
	"pistachiomount.example/pistachiomount/inventory"
)

const (
	// limitWindow, limitFactor and limitSlack are the platform's bound on the requests that a limited
	// upstream receives: in any window, the factor times its limit, plus the slack.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// toldDelay is how long after its first response with a limit a VM's requests begin to count.
	toldDelay = 500 * time.Millisecond
)

// limitFleet is a fleet of entry VMs over three regions, whose upstreams respond at once.
type limitFleet struct {
	rng      *rand.Rand
	names    []string
	tables   []*Table
	list     []inventory.Upstream
	objects  int
	rate     float64 // requests per second of all VMs
	response time.Duration
	// limits are the limits that upstreams announce at a time, by ID.
	limits func(at time.Duration, id string) (float64, bool)

	sent     map[string][]sentRequest
	told     map[string]map[int]time.Duration
	refused  int
	requests int
}

type sentRequest struct {
	vm int
	at time.Duration
}

func newLimitFleet(seed uint64, vms, upstreams, slots int, perUpstream float64) *limitFleet {
	f := &limitFleet{
		rng: rand.New(rand.NewPCG(seed, 1)), objects: 6 * upstreams, rate: perUpstream * float64(upstreams), response: 300 * time.Millisecond,
		sent: map[string][]sentRequest{}, told: map[string]map[int]time.Duration{},
	}
	regions := []string{"r1", "r2", "r3"}
	for i, region := range regions {
		n := (upstreams + 2 - i) / 3
		f.list = append(f.list, upstreamsOf(region, region+"-a", (n+1)/2, slots)...)
		f.list = append(f.list, upstreamsOf(region, region+"-b", n/2, slots)...)
	}
	var fleet []VM
	for i := range vms {
		f.names = append(f.names, fmt.Sprint("vm", i))
		fleet = append(fleet, VM{Name: f.names[i], Region: regions[i%3]})
	}
	for i, name := range f.names {
		region := regions[i%3]
		table := NewTable(Location{Region: region, FailureDomain: region + "-" + string("ab"[i/3%2]), VM: name}, NewShiftLimiter(start, region))
		table.SetFleet(fleet)
		table.SetUpstreams(start, f.list, true)
		f.tables = append(f.tables, table)
	}
	return f
}

// run sends requests for the given time. Each VM learns of a limit only from its own responses.
func (f *limitFleet) run(duration time.Duration) {
	type running struct {
		vm  int
		id  string
		end time.Duration
	}
	var inFlight []running
	for at := time.Duration(0); at < duration; at += time.Millisecond {
		now := start.Add(at)
		for len(inFlight) > 0 && inFlight[0].end <= at {
			r := inFlight[0]
			inFlight = inFlight[1:]
			a := announce.Announcement{Heard: true}
			if limit, limited := f.limits(at, r.id); limited {
				a.Limited, a.RateLimit = true, limit
				if _, known := f.told[r.id][r.vm]; !known {
					f.told[r.id][r.vm] = at
				}
			}
			f.tables[r.vm].RecordAnnouncement(now, r.id, a)
			f.tables[r.vm].Done(now, r.id, Outcome{LatencyRatio: 1})
		}
		for f.rng.Float64() < f.rate/1000/(1+f.rate/1000) {
			vm := f.rng.IntN(len(f.tables))
			f.requests++
			q := &Query{Object: ObjectHash(fmt.Sprint(f.rng.IntN(f.objects))), Urgency: 1}
			u, verdict := f.tables[vm].Pick(now, q)
			if verdict != Placed {
				f.refused++
				continue
			}
			if f.told[u.ID] == nil {
				f.told[u.ID] = map[int]time.Duration{}
			}
			f.sent[u.ID] = append(f.sent[u.ID], sentRequest{vm, at})
			inFlight = append(inFlight, running{vm, u.ID, at + f.response})
		}
	}
}

// worst returns the largest number of requests above the bound that an upstream received in a window
// from VMs that it had told, and a description.
func (f *limitFleet) worst(id string, limit float64, from, to time.Duration) (excess float64, text string) {
	var counted []time.Duration
	for _, r := range f.sent[id] {
		if told, ok := f.told[id][r.vm]; ok && r.at >= told+toldDelay && r.at >= from && r.at < to {
			counted = append(counted, r.at)
		}
	}
	allowed := limitFactor*limit*limitWindow.Seconds() + limitSlack
	first := 0
	for i, at := range counted {
		for at-counted[first] > limitWindow {
			first++
		}
		if n := float64(i - first + 1); n-allowed > excess {
			excess, text = n-allowed, fmt.Sprintf("%s: %.0f requests in 4 s until %v at a limit of %.1f, allowed %.1f", id, n, at, limit, allowed)
		}
	}
	return excess, text
}

// Guards against an upstream that receives more than the limit that it has announced from all VMs
// together.
func TestAnnouncedLimitHoldsForTheWholeFleet(t *testing.T) {
	for _, vms := range []int{1, 8, 12, 300} {
		for _, limit := range []float64{0, 0.5, 2.8, 8.1} {
			t.Run(fmt.Sprintf("%d VMs, %.1f/s", vms, limit), func(t *testing.T) {
				is := is.New(t)
				f := newLimitFleet(uint64(vms), vms, 14, 6, 12)
				limited := map[string]bool{f.list[0].ID: true, f.list[9].ID: true}
				f.limits = func(at time.Duration, id string) (float64, bool) { return limit, limited[id] && at >= 5*time.Second }
				f.run(25 * time.Second)
				for id := range limited {
					is.True(len(f.told[id]) > 0) // the limit was announced
					if excess, text := f.worst(id, limit, 0, 25*time.Second); excess > 0 {
						t.Error(text)
					}
				}
			})
		}
	}
}
