package clientmap_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"pistachiomount.example/pistachiomount/clientmap"
)

const benchSites = 760

// benchBlocks returns n distinct random IPv4 blocks of /16 to /28, with longer
// prefixes more frequent.
func benchBlocks(n int) []clientmap.Block {
	rng := rand.New(rand.NewPCG(1, 2))
	seen := make(map[netip.Prefix]bool, n)
	blocks := make([]clientmap.Block, 0, n)
	for len(blocks) < n {
		bits := max(16+rng.IntN(13), 16+rng.IntN(13))
		addr := netip.AddrFrom4([4]byte(binary.BigEndian.AppendUint32(nil, rng.Uint32())))
		p := netip.PrefixFrom(addr, bits).Masked()
		if seen[p] {
			continue
		}
		seen[p] = true
		site := rng.IntN(benchSites)
		blocks = append(blocks, clientmap.Block{Prefix: p, Site: clientmap.Site{
			Region: fmt.Sprintf("region-%d", site%11), Name: fmt.Sprintf("site-%d", site),
		}})
	}
	return blocks
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{30_000, 180_000, 730_000} {
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			blocks := benchBlocks(n)
			before, began := heapBytes(), time.Now()
			table, err := clientmap.NewTable(blocks)
			if err != nil {
				b.Fatal(err)
			}
			build := time.Since(began)
			perBlock := float64(heapBytes()-before) / float64(n)
			var m clientmap.Map
			m.Swap(table)
			rng := rand.New(rand.NewPCG(3, 4))
			addrs := make([]netip.Addr, 1<<16)
			for i := range addrs {
				addrs[i] = blocks[rng.IntN(n)].Prefix.Addr()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				m.Lookup(addrs[i&(1<<16-1)])
			}
			b.ReportMetric(perBlock, "B/block")
			b.ReportMetric(build.Seconds()*1000, "build-ms")
			runtime.KeepAlive(blocks)
		})
	}
}
