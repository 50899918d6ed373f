package document_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/document"
)

// Guards against a delta whose result differs from the new document.
func TestDeltaRebuildsDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		line := rapid.SampledFrom([]string{"a: 1\n", "b:\n", "  - x\n", "  - y: 2\n", "    z: 3\n", "# note\n", "\n", "c: 4"})
		oldRaw := []byte(strings.Join(rapid.SliceOf(line).Draw(t, "old"), ""))
		newRaw := []byte(strings.Join(rapid.SliceOf(line).Draw(t, "new"), ""))
		steps := document.Delta(oldRaw, newRaw)
		got, err := document.ApplyDelta(oldRaw, steps, document.Digest(newRaw))
		if err != nil || !bytes.Equal(got, newRaw) {
			t.Fatalf("delta of %q to %q gave %q, %v", oldRaw, newRaw, got, err)
		}
	})
}

// Guards against applying a delta to bytes other than those it was computed from.
func TestDeltaOnOtherBytesIsRejected(t *testing.T) {
	is := is.New(t)
	oldRaw := exampleDocument(t, "bancas")
	newRaw := bytes.Replace(oldRaw, []byte("number: 1"), []byte("number: 2"), 1)
	_, err := document.ApplyDelta(exampleDocument(t, "tama-cuirs"), document.Delta(oldRaw, newRaw), document.Digest(newRaw))
	is.True(err != nil)
}

// Guards against resending the whole document for a change of one customer. A rate
// of 12,000 changes a day within 6 KB/s per daemon leaves about 40 KB for each
// change; the bound is a tenth of that.
func TestDeltaOfOneCustomerIsSmall(t *testing.T) {
	is := is.New(t)
	oldRaw := exampleDocument(t, "bancas")
	newRaw := bytes.Replace(oldRaw, []byte("number: 1"), []byte("number: 2"), 1)
	newRaw = bytes.Replace(newRaw, []byte("rate: 20\n"), []byte("rate: 25\n"), 1)
	size := 0
	for _, step := range document.Delta(oldRaw, newRaw) {
		size += proto.Size(step)
	}
	t.Logf("document %d bytes, delta %d bytes", len(newRaw), size)
	is.True(size < 4000)
}

// Guards against a step that copies sections beyond the end of the old document.
func TestDeltaOutOfRangeIsRejected(t *testing.T) {
	is := is.New(t)
	steps := []*apipb.Section{{CopyFrom: 1 << 31, CopyCount: 1 << 31}}
	_, err := document.ApplyDelta([]byte("a: 1\n"), steps, "")
	is.True(err != nil)
}
