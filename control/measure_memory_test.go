package control

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/grant"
	"pistachiomount.example/pistachiomount/transport"
)

// heapGrowth returns the growth of the live heap and stacks by the function.
func heapGrowth(f func() any) int {
	before := liveBytes()
	kept := f()
	after := liveBytes()
	runtime.KeepAlive(kept)
	return int(after) - int(before)
}

func liveBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// Guards against memory use by waiting polls and holders that is too high for 3,200
// entry daemons.
func TestMeasureMemory(t *testing.T) {
	simulate(t, 1, func(b *simCluster) {
		n := b.nodes[0]
		n.mustSubmit("trial", documentOf(1, 0))
		revision := n.daemon.Load().engine.store.InForce(trial).Revision
		for _, polls := range []int{400, 1600} {
			ctx, cancel := context.WithCancel(b.ctx)
			var wg sync.WaitGroup
			each := heapGrowth(func() any {
				for range polls {
					wg.Go(func() {
						_, _ = n.service().Watch(ctx, &apipb.WatchRequest{Environment: trial, HaveRevision: revision, WaitMs: 1000})
					})
				}
				time.Sleep(10 * time.Millisecond)
				return nil
			}) / polls
			cancel()
			wg.Wait()
			t.Logf("%d waiting polls: %d B each", polls, each)
			if each*3200 > targetMemory {
				t.Errorf("a waiting poll takes %d B", each)
			}
		}
	})
	for _, resources := range []int{10, 100, 1000} {
		const holders = 50
		each := heapGrowth(func() any {
			owner := grant.NewOwner(grant.OwnerConfig{Term: 2, NoPredecessor: true}, &clock.Manual{})
			owner.SetCaps(testCaps(resources))
			for i := range holders {
				vm := fmt.Sprint(i)
				owner.Renew(buildRequest(newHolder(&clock.Manual{}, vm, resourceNames(resources)...), vm), true)
			}
			return owner
		}) / holders
		t.Logf("%d resources: %d B a holder at the owner", resources, each)
		if each > 2048+512*resources {
			t.Errorf("%d resources: %d B a holder", resources, each)
		}
	}
}

// Guards against connections of watchers that use more memory than a daemon may have:
// the watchers of 3,200 entry daemons spread over three control daemons. The figure
// includes the clients, since both ends run in this process.
func TestMeasureConnectedWatchers(t *testing.T) {
	rpc := listen(t)
	d := newDaemon(t, "a", rpc)
	stop := runDaemon(t, d)
	defer stop()
	if _, err := d.initialise(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, watchers := range []int{100, 300} {
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		each := heapGrowth(func() any {
			answered := make(chan struct{}, watchers)
			for range watchers {
				wg.Go(func() { pollOverConnection(ctx, addressOf(rpc), answered) })
			}
			for range watchers {
				<-answered
			}
			return nil
		}) / watchers
		cancel()
		wg.Wait()
		t.Logf("%d connected watchers: %d B each, both ends", watchers, each)
		if each*3200/3 > 2*targetMemory {
			t.Errorf("%d B for each connected watcher", each)
		}
	}
}

// pollOverConnection polls over its own connection until the context ends.
func pollOverConnection(ctx context.Context, address string, answered chan<- struct{}) {
	client, err := transport.NewClient(address, &transport.Security{Insecure: true})
	if err != nil {
		panic(err)
	}
	defer func() { _ = client.Close() }()
	for first := true; ctx.Err() == nil; {
		_, err := apipb.NewDRPCControlClient(client).Watch(ctx, &apipb.WatchRequest{Environment: trial, WaitMs: 1000})
		if err == nil && first {
			answered <- struct{}{}
			first = false
		}
		if err != nil {
			sleepFor(ctx, 10*time.Millisecond)
		}
	}
}

// Guards against allocations in proportion to the document by a poll without changes.
func TestMeasurePollAllocations(t *testing.T) {
	simulate(t, 1, func(b *simCluster) {
		n := b.nodes[0]
		report := n.mustSubmit("trial", documentOf(1, 0))
		request := &apipb.WatchRequest{Environment: trial, HaveRevision: report.Revision, HaveDigest: report.Digest}
		allocations := testing.AllocsPerRun(100, func() { _, _ = n.service().Watch(b.ctx, request) })
		t.Logf("a poll without changes: %.0f allocations", allocations)
		if allocations > 40 {
			t.Errorf("%.0f allocations, bound 40", allocations)
		}
		first := &watcher{node: n}
		if err := first.poll(); err != nil || document.Digest(first.raw) != report.Digest {
			t.Fatal(err)
		}
		t.Logf("a watcher that starts: %d B for a document of %d B", first.bytes.Load(), len(first.raw))
	})
}
