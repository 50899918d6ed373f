package entry

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/inventory"
)

// largeDocument returns the example document with the given numbers of customers and
// client blocks added.
func largeDocument(t testing.TB, number, customers, blocks int) []byte {
	text := string(exampleDocument(t, number))
	at := strings.Index(text, "client_blocks:")
	var out bytes.Buffer
	out.WriteString(text[:at])
	for i := range customers {
		fmt.Fprintf(&out, "  - name: customer-%d\n    rate: 20\n    burst: 40\n    weight: 1\n    services: [records, billing]\n"+
			"    keys:\n      - id: first\n        sha256: \"%064x\"\n", i, i+1)
	}
	out.WriteString(text[at:])
	regions := []string{"bogota", "medellin", "cali"}
	for i := range blocks {
		fmt.Fprintf(&out, "  - cidr: %d.%d.%d.0/24\n    region: %s\n", 16+i>>16, i>>8&255, i&255, regions[i%3])
	}
	return out.Bytes()
}

func manyUpstreams(n int) inventory.List[inventory.Upstream] {
	var list inventory.List[inventory.Upstream]
	regions, services := []string{"bogota", "medellin", "cali"}, []string{"records", "billing"}
	for i := range n {
		region := regions[i%3]
		list.Entries = append(list.Entries, inventory.Upstream{
			ID: fmt.Sprintf("upstream-%d", i), Service: services[i%2], Region: region, FailureDomain: region + "-1",
		})
	}
	return list
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkViewMemory reports the heap that a daemon keeps for its view, in total and
// per item added to the example.
func BenchmarkViewMemory(b *testing.B) {
	for _, c := range []struct {
		kind                         string
		customers, upstreams, blocks int
	}{
		{"customers", 1000, 0, 0},
		{"customers", 10_000, 0, 0},
		{"upstreams", 0, 100, 0},
		{"upstreams", 0, 760, 0},
		{"blocks", 0, 0, 10_000},
		{"blocks", 0, 0, 100_000},
	} {
		items := c.customers + c.upstreams + c.blocks
		b.Run(fmt.Sprintf("%s=%d", c.kind, items), func(b *testing.B) {
			for b.Loop() {
				base := viewHeap(b, 0, 0, 0)
				total := viewHeap(b, c.customers, c.upstreams, c.blocks)
				b.ReportMetric(float64(total)/1e6, "MB")
				b.ReportMetric(float64(total-base)/float64(items), "B/item")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func viewHeap(b testing.TB, customers, upstreams, blocks int) int64 {
	raw := largeDocument(b, 1, customers, blocks)
	before := heapBytes() - int64(len(raw)) // kept by the view
	d := newTestDaemon(b, processClock{}, &fakeDialer{}, "a")
	d.setUpstreams(manyUpstreams(upstreams))
	applyRawDocument(b, d, raw, 1)
	d.requestUpstreamGrants(upstreams)
	after := heapBytes()
	runtime.KeepAlive(d)
	return after - before
}

// Guards against a view that exceeds the 64 MB for control state: a document of the
// largest size allowed must fit, whatever it consists of.
func TestLargestDocumentFitsIntoMemory(t *testing.T) {
	const bound = 64e6 / float64(document.MaxBytes)
	for _, c := range []struct{ customers, blocks int }{{500, 0}, {0, 5000}} {
		base := viewHeap(t, 0, 0, 0)
		raw := len(largeDocument(t, 1, c.customers, c.blocks)) - len(largeDocument(t, 1, 0, 0))
		perByte := float64(viewHeap(t, c.customers, 0, c.blocks)-base) / float64(raw)
		t.Logf("%d customers, %d blocks: %.1f bytes of heap a byte of document, at most %.1f", c.customers, c.blocks, perByte, bound)
		if perByte > bound {
			t.Errorf("%d customers, %d blocks: %.1f bytes of heap a byte of document, at most %.1f", c.customers, c.blocks, perByte, bound)
		}
	}
}

// requestUpstreamGrants registers the slots and connections of each upstream, as
// requests do.
func (d *Daemon) requestUpstreamGrants(upstreams int) {
	for i := range upstreams {
		id := fmt.Sprintf("upstream-%d", i)
		d.grants.slot(id)
		d.grants.conn(id)
	}
}

func applyRawDocument(b testing.TB, d *Daemon, raw []byte, revision uint64) {
	v, err := d.syncer.buildView(raw, d.syncer.load(), &apipb.WatchReply{Revision: revision, Digest: document.Digest(raw)})
	if err != nil {
		b.Fatal(err)
	}
	v.confirmed, v.confirmedAt = true, d.cfg.Clock.Now()
	d.syncer.current.Store(v)
	d.applyView(v)
}

// BenchmarkLookup measures one lookup answer by the HTTP handler, without the network.
func BenchmarkLookup(b *testing.B) {
	d := newTestDaemon(b, processClock{}, &fakeDialer{}, "a")
	applyRawDocument(b, d, largeDocument(b, 1, 0, 10_000), 1)
	var fleet []*apipb.Vm
	for i := range 3200 {
		region := []string{"bogota", "medellin", "cali"}[i%3]
		fleet = append(fleet, &apipb.Vm{
			Name: fmt.Sprintf("vm-%d", i), Address: fmt.Sprintf("10.0.%d.%d:80", i>>8, i&255), Region: region,
			FailureDomain: fmt.Sprintf("%s-%d", region, i%2+1), State: apipb.VmState_VM_STATE_SERVING,
		})
	}
	d.lookups.setFleet(1, fleet)
	handler := d.callerServer().Handler
	r := httptest.NewRequest(http.MethodGet, "/v1/lookup?service=records", nil)
	r.RemoteAddr = "16.0.1.7:999"
	w := httptest.NewRecorder()
	b.ReportAllocs()
	for b.Loop() {
		w.Body.Reset()
		handler.ServeHTTP(w, r)
	}
	if w.Code != http.StatusOK {
		b.Fatal(w.Code)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "answers/s")
}

// BenchmarkTick measures the processor time of one tick and its share of one core at
// ten ticks a second.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{10, 100, 760} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			d := newTestDaemon(b, processClock{}, &fakeDialer{}, "a")
			d.setUpstreams(manyUpstreams(n))
			applyRawDocument(b, d, largeDocument(b, 1, 0, 0), 1)
			d.requestUpstreamGrants(n)
			b.ReportAllocs()
			for b.Loop() {
				d.tick()
			}
			b.ReportMetric(100*b.Elapsed().Seconds()/float64(b.N)/tickInterval.Seconds(), "%core")
		})
	}
}

// BenchmarkChange measures a document change from the poll until it is in force. The
// client blocks do not change.
func BenchmarkChange(b *testing.B) {
	for _, c := range []struct{ customers, blocks int }{{0, 0}, {1000, 0}, {0, 10_000}, {0, 100_000}} {
		b.Run(fmt.Sprintf("customers=%d/blocks=%d", c.customers, c.blocks), func(b *testing.B) {
			control := &fakeControl{}
			d := newTestDaemon(b, processClock{}, &fakeDialer{daemons: map[string]*fakeControl{"a": control}}, "a")
			d.setUpstreams(manyUpstreams(100))
			raws := [][]byte{largeDocument(b, 1, c.customers, c.blocks), largeDocument(b, 2, c.customers, c.blocks)}
			deltas := [][]*apipb.Section{document.Delta(raws[1], raws[0]), document.Delta(raws[0], raws[1])}
			applyRawDocument(b, d, raws[0], 1)
			revision := uint64(1)
			control.watch = func(context.Context, *apipb.WatchRequest) (*apipb.WatchReply, error) {
				revision++
				next := (revision + 1) % 2
				reply := snapshotReply(raws[next], revision)
				reply.Kind, reply.Sections = apipb.WatchKind_WATCH_KIND_DELTA, deltas[next]
				return reply, nil
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := d.syncer.poll(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
