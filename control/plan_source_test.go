package control

import (
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/plan"
)

// Guards against an old configuration that is read back after a new one, and against one that is decompressed
// for each read.
func TestSourceOfTheNewestPlanIsKept(t *testing.T) {
	is := is.New(t)
	var source planSource
	for _, text := range []string{"first", "second"} {
		compressed, err := plan.Compress([]byte(text))
		is.NoErr(err)
		got, err := source.decompress(compressed)
		is.NoErr(err)
		is.Equal(string(got), text)
		again, err := source.decompress(compressed)
		is.NoErr(err)
		is.True(&got[0] == &again[0])
	}
	_, err := source.decompress([]byte("not compressed"))
	is.True(err != nil)
}
