package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/announce"
)

// exchange lets all VMs of a fleet exchange notices once a second, as renewals do.
func (f *limitFleet) exchange() {
	board := announce.NewBoard()
	f.eachSecond = func(second int) {
		now := start.Add(time.Duration(second) * time.Second)
		for i, table := range f.tables {
			board.Record(now, f.names[i], table.Notices(now))
		}
		merged := map[string]announce.Notice{}
		for _, n := range board.Summary(now) {
			merged[n.Upstream] = n
		}
		for _, table := range f.tables {
			table.SetNotices(now, merged)
		}
	}
}

// Guards against VMs that send a request each to learn of a limit, and against those that do not learn of
// its end for minutes because they may send nothing meanwhile.
func TestVMsLearnOfLimitsFromEachOther(t *testing.T) {
	for _, vms := range []int{8, 12, 300} {
		is := is.New(t)
		f := newLimitFleet(uint64(vms), vms, 14, 6, 12)
		id := f.list[0].ID
		f.limits = func(at time.Duration, upstream string) (float64, bool) {
			return 3, upstream == id && at >= 5*time.Second && at < 20*time.Second
		}
		f.exchange()
		f.run(40 * time.Second)
		if excess, text := f.worst(id, 3, 0, 20*time.Second); excess > 0 {
			t.Error(text)
		}
		total, before, after := 0, 0, 0
		for _, r := range f.sent[id] {
			switch {
			case r.at < 5*time.Second:
				before++
			case r.at >= 8*time.Second && r.at < 20*time.Second:
				total++ // of VMs that have been told and of others
			case r.at >= 30*time.Second && r.at < 35*time.Second:
				after++
			}
		}
		t.Logf("%d VMs: %d requests in 5 s before, %d in 12 s at a limit of 3, %d in 5 s after", vms, before, total, after)
		is.True(total <= 12*3*3/2+limitSlack)
		is.True(after*2 >= before)
	}
}

// Guards against an upstream that starts again and stays unused because other VMs still report its run
// before.
func TestNextRunIsUsedThoughOthersReportTheLast(t *testing.T) {
	is := is.New(t)
	table, list := newSmallTable(3)
	table.SetWarmup(time.Second, 1000)
	id := list[0].ID
	notice := map[string]announce.Notice{id: {Upstream: id, LeavingSince: start}}
	is.Equal(table.SetNotices(start, notice), map[string]announce.Change{id: announce.LeavingBegan})
	is.Equal(picks(table, start.Add(time.Second), 60, id), 0)
	table.SetUpstreams(start.Add(2*time.Second), list[1:], false)
	table.SetUpstreams(start.Add(3*time.Second), list, false)
	table.SetNotices(start.Add(4*time.Second), notice)
	is.True(picks(table, start.Add(30*time.Second), 60, id) > 0)
}
