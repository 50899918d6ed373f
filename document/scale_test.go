package document_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/document"
)

// exampleWithBlocks returns an example document with the given number of client
// blocks.
func exampleWithBlocks(t testing.TB, blocks int) []byte {
	raw := string(exampleDocument(t, "bancas"))
	var out bytes.Buffer
	out.WriteString(raw[:strings.Index(raw, "client_blocks:")])
	out.WriteString("client_blocks:\n")
	for i := range blocks {
		fmt.Fprintf(&out, "  - cidr: %d.%d.%d.0/24\n    region: bogota\n", 16+i>>16, i>>8&255, i&255)
	}
	return out.Bytes()
}

// BenchmarkDecode measures Decode by the number of client blocks.
func BenchmarkDecode(b *testing.B) {
	for _, blocks := range []int{10, 1000, 10_000, 50_000} {
		b.Run(fmt.Sprint(blocks), func(b *testing.B) {
			raw := exampleWithBlocks(b, blocks)
			b.ReportAllocs()
			b.ReportMetric(float64(len(raw)), "document-bytes")
			for b.Loop() {
				if _, err := document.Decode(raw); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkDelta measures Delta between two large documents.
func BenchmarkDelta(b *testing.B) {
	for _, blocks := range []int{1000, 10_000, 50_000} {
		b.Run(fmt.Sprint(blocks), func(b *testing.B) {
			oldRaw := exampleWithBlocks(b, blocks)
			newRaw := bytes.Replace(oldRaw, []byte("number: 1"), []byte("number: 2"), 1)
			b.ReportAllocs()
			for b.Loop() {
				document.Delta(oldRaw, newRaw)
			}
		})
	}
}

// Guards against a decoder whose cost grows faster than the document: ten times the
// client blocks may cost at most twelve times the allocations.
func TestDecodeCostIsLinear(t *testing.T) {
	is := is.New(t)
	allocations := func(blocks int) float64 {
		raw := exampleWithBlocks(t, blocks)
		return testing.AllocsPerRun(1, func() {
			_, err := document.Decode(raw)
			is.NoErr(err)
		})
	}
	small, large := allocations(200), allocations(2000)
	is.True(large < 12*small)
}

// Guards against decoding all client blocks again after a small change. At 12,000
// changes a day that would take a full CPU core at the design scale.
func TestDecoderSkipsUnchangedClientBlocks(t *testing.T) {
	is := is.New(t)
	var decoder document.Decoder
	raw := exampleWithBlocks(t, 2000)
	first, same, err := decoder.Decode(raw)
	is.NoErr(err)
	is.True(!same)
	changed := bytes.Replace(raw, []byte("number: 1"), []byte("number: 2"), 1)
	var second *document.Document
	allocsUnchanged := testing.AllocsPerRun(1, func() {
		second, same, err = decoder.Decode(changed)
		is.NoErr(err)
	})
	is.True(same)
	is.Equal(second.Number, uint64(2))
	is.Equal(len(first.ClientBlocks), 2000)
	is.Equal(len(second.ClientBlocks), 0)
	allocsFull := testing.AllocsPerRun(1, func() { _, _ = document.Decode(changed) })
	is.True(allocsUnchanged*10 < allocsFull)

	fewer := exampleWithBlocks(t, 1999)
	third, same, err := decoder.Decode(fewer)
	is.NoErr(err)
	is.True(!same)
	is.Equal(len(third.ClientBlocks), 1999)
}

// BenchmarkDecoder measures Decoder.Decode with unchanged client blocks.
func BenchmarkDecoder(b *testing.B) {
	for _, blocks := range []int{1000, 50_000} {
		b.Run(fmt.Sprint(blocks), func(b *testing.B) {
			var decoder document.Decoder
			raw := exampleWithBlocks(b, blocks)
			if _, _, err := decoder.Decode(raw); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, _, err := decoder.Decode(raw); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
