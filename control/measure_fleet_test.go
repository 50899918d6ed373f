package control

import (
	"context"
	"sync"
	"testing"
	"time"
)

// Sizes are those of encoded messages, without the framing of
// drpc, TLS and TCP.

// Targets and assumed loads of the design.
const (
	targetBytesPerSecond = 6 << 10 // control traffic of an entry daemon
	targetInForce        = 8 * time.Second
	targetMemory         = 64 << 20
	changesPerDay        = 12_000
	secondsPerDay        = 86_400
)

// fleetCost is the traffic and the delay of a group with watchers.
type fleetCost struct {
	idleSecond, perChange map[string]traffic // by role, for an idle second and for one change
	maxDelay              time.Duration      // from acceptance until all watchers have the change
}

type traffic struct{ messages, bytes float64 }

const (
	measuredSeconds = 10
	measuredChanges = 10
)

// measureFleet runs watchers on a group of three and measures its traffic.
func measureFleet(b *simCluster, watchers int) fleetCost {
	all := make([]*watcher, watchers)
	seen := make(chan uint64, watchers)
	ctx, cancel := context.WithCancel(b.ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	b.nodes[0].mustSubmit("trial", documentOf(1, 0))
	for i := range all {
		w := &watcher{node: b.nodes[i%len(b.nodes)]}
		all[i] = w
		wg.Go(func() {
			for ctx.Err() == nil {
				had := w.revision
				if err := w.poll(); err == nil && w.revision != had {
					seen <- w.revision
				}
			}
		})
	}
	for range all {
		<-seen
	}
	time.Sleep(5 * time.Second)
	figures := fleetCost{}
	figures.idleSecond = measureTraffic(b, all, measuredSeconds, func() { time.Sleep(measuredSeconds * time.Second) })
	changeInterval := 2 * time.Second
	perChange := measureTraffic(b, all, measuredChanges, func() {
		for i := range uint64(measuredChanges) {
			startedAt := time.Now()
			b.leader().mustSubmit("trial", documentOf(2+i, int(2+i)))
			accepted := time.Now()
			for range all {
				<-seen
			}
			figures.maxDelay = max(figures.maxDelay, time.Since(accepted))
			time.Sleep(changeInterval - time.Since(startedAt))
		}
	})
	for role, t := range perChange { // subtracts the two idle seconds around each change
		idle := figures.idleSecond[role]
		perChange[role] = traffic{t.messages - 2*idle.messages, t.bytes - 2*idle.bytes}
	}
	figures.perChange = perChange
	return figures
}

// measureTraffic returns the traffic by role during the function, divided by n.
func measureTraffic(b *simCluster, watchers []*watcher, n float64, during func()) map[string]traffic {
	leader := b.leader()
	b.net.resetCounts()
	repliesBefore, bytesBefore := totalReplies(watchers)
	during()
	out := map[string]traffic{}
	for _, node := range b.nodes {
		batches, bytes := b.net.sentBy(node.name)
		role := "follower sends"
		if node == leader {
			role = "leader sends"
		}
		out[role] = traffic{float64(batches) / n, float64(bytes) / n}
	}
	replies, bytes := totalReplies(watchers)
	count := n * float64(len(watchers))
	out["watcher exchanges"] = traffic{float64(replies-repliesBefore) / count, float64(bytes-bytesBefore) / count}
	return out
}

func totalReplies(watchers []*watcher) (replies, bytes int64) {
	for _, w := range watchers {
		replies += w.replies.Load()
		bytes += w.bytes.Load()
	}
	return replies, bytes
}

// Guards against traffic within the group that grows with the number of watchers, and
// against a change that needs more than one poll round.
func TestMeasureFleet(t *testing.T) {
	byCount := map[int]fleetCost{}
	for _, watchers := range []int{12, 150, 300} {
		simulate(t, 3, func(b *simCluster) { byCount[watchers] = measureFleet(b, watchers) })
		f := byCount[watchers]
		for _, role := range []string{"leader sends", "follower sends", "watcher exchanges"} {
			t.Logf("%d watchers, %s: idle %.1f messages and %.0f B a second; a change %.1f messages and %.0f B",
				watchers, role, f.idleSecond[role].messages, f.idleSecond[role].bytes, f.perChange[role].messages, f.perChange[role].bytes)
		}
		t.Logf("%d watchers: in force everywhere %v after the acceptance", watchers, f.maxDelay)
		if round := MaxWatchWait + 4*oneWay; f.maxDelay > round || round > targetInForce {
			t.Errorf("%d watchers: a change took %v, more than one poll round of %v", watchers, f.maxDelay, round)
		}
		w := f.idleSecond["watcher exchanges"].bytes + f.perChange["watcher exchanges"].bytes*changesPerDay/secondsPerDay
		if w > targetBytesPerSecond/4 { // renewals use the rest
			t.Errorf("%d watchers: %.0f B/s each, more than a quarter of the target", watchers, w)
		}
	}
	for _, role := range []string{"leader sends", "follower sends"} {
		few, many := byCount[12], byCount[300]
		if many.idleSecond[role].bytes > few.idleSecond[role].bytes*1.1 || many.perChange[role].bytes > few.perChange[role].bytes*1.1 {
			t.Errorf("%s more with 300 watchers (%v, %v) than with 12 (%v, %v)",
				role, many.idleSecond[role], many.perChange[role], few.idleSecond[role], few.perChange[role])
		}
	}
}
