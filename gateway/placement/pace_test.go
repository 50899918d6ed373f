package placement

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// movedShare returns the share of requests whose region differs between the two
// windows before each instant, at its worst.
func movedShare(runs []paceRun, from, to time.Time) float64 {
	worst := 0.0
	for at := from.Add(2 * shiftWindow); at.Before(to); at = at.Add(250 * time.Millisecond) {
		before, n0 := sharesIn(runs, at.Add(-2*shiftWindow), at.Add(-shiftWindow))
		after, n1 := sharesIn(runs, at.Add(-shiftWindow), at)
		if n0 < 40 || n1 < 40 {
			continue
		}
		moved := 0.0
		for region, share := range after {
			moved += math.Max(0, share-before[region])
		}
		worst = math.Max(worst, moved)
	}
	return worst
}

type paceRun struct {
	at     time.Time
	region string
}

func sharesIn(runs []paceRun, from, to time.Time) (map[string]float64, float64) {
	shares, n := map[string]float64{}, 0.0
	for _, r := range runs {
		if !r.at.Before(from) && r.at.Before(to) {
			shares[r.region]++
			n++
		}
	}
	for region := range shares {
		shares[region] /= n
	}
	return shares, n
}

// Guards against load that moves to another region faster than the platform allows
// (0.15 in 2 s) when a region fills up and empties again within a second.
func TestRegionsChangeAtABoundedPace(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 2))
		pace := NewShiftLimiter(start, "home")
		var runs []paceRun
		for ms := 0; ms < 30_000; ms += 5 + rng.IntN(20) {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			full := ms > 3_000 && ms < 12_000 // home has room for a third of the requests
			wish := "home"
			if full && rng.IntN(3) > 0 {
				wish = "away"
			}
			allowed := pace.Allowed(now)
			pace.RecordPreference(wish)
			switch {
			case allowed(wish):
			case wish == "home" && allowed("away"):
				wish = "away"
			default:
				continue // home is full and nothing more may go away
			}
			pace.RecordPlacement(now, wish)
			runs = append(runs, paceRun{now, wish})
		}
		worst := movedShare(runs, start, start.Add(30*time.Second))
		t.Logf("seed %d: %.3f of the requests moved within 2 s at the most", seed, worst)
		is.True(worst <= 0.15)
		shares, _ := sharesIn(runs, start.Add(10*time.Second), start.Add(12*time.Second))
		is.True(shares["away"] > 0.25) // it does move
	}
}

// Guards against requests that have no upstream because the pace holds them in a
// region that has just been lost.
func TestPaceIsLiftedWhenARegionIsLost(t *testing.T) {
	is := is.New(t)
	pace := NewShiftLimiter(start, "r")
	table := NewTable(Location{Region: "r", FailureDomain: "r-a", VM: "a"}, pace)
	near, far := upstreamsOf("r", "r-a", 4, 6), upstreamsOf("f", "f-a", 4, 6)
	table.SetUpstreams(start, append(near, far...), true)
	now := start
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		u, _ := table.Pick(now, &Query{Urgency: 2})
		is.Equal(u.Region, "r")
		table.Done(now, u.ID, Outcome{})
	}
	for _, u := range near {
		table.Done(now, u.ID, Outcome{Unreachable: true})
	}
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		u, verdict := table.Pick(now, &Query{Urgency: 2})
		is.Equal(verdict, Placed)
		is.Equal(u.Region, "f")
		table.Done(now, u.ID, Outcome{})
	}
}

// Guards against a table that places requests without asking the pace: a region that
// fills up at once would send all that follows to another one.
func TestAFullRegionSendsRequestsAwayAtThePaceOnly(t *testing.T) {
	is := is.New(t)
	table := NewTable(Location{Region: "r", FailureDomain: "r-a", VM: "a"}, NewShiftLimiter(start, "r"))
	table.SetUpstreams(start, append(upstreamsOf("r", "r-a", 1, 6), upstreamsOf("f", "f-a", 4, 50)...), true)
	now, placed := start, map[string]int{}
	for range 200 { // 4 s with room at home
		now = now.Add(20 * time.Millisecond)
		u, verdict := table.Pick(now, &Query{Urgency: 2})
		is.Equal(verdict, Placed)
		is.Equal(u.Region, "r")
		table.Done(now, u.ID, Outcome{})
	}
	for range 100 { // 2 s in which nothing ends
		now = now.Add(20 * time.Millisecond)
		if u, verdict := table.Pick(now, &Query{Urgency: 2}); verdict == Placed {
			placed[u.Region]++
		}
	}
	is.Equal(placed["r"], 6+int(queueAllowance(2))) // its slots, and what may wait there
	is.True(placed["f"] > 0)
	is.True(float64(placed["f"]) <= 0.15*100)
}
