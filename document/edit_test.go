package document_test

import (
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/document"
)

// Guards against an edit that changes more than the number and the drains.
func TestEditDrainAndUndo(t *testing.T) {
	is := is.New(t)
	raw := exampleDocument(t, "bancas")
	drained, err := document.EditDrain(raw, document.Drain{Region: "cali"}, false)
	is.NoErr(err)
	doc, err := document.Decode(drained)
	is.NoErr(err)
	is.Equal(doc.Drains, []document.Drain{{Region: "cali"}})
	is.Equal(doc.Number, uint64(2))
	_, err = document.EditDrain(drained, document.Drain{Region: "cali"}, false)
	is.True(err != nil)
	back, err := document.EditDrain(drained, document.Drain{Region: "cali"}, true)
	is.NoErr(err)
	again, err := document.Decode(back)
	is.NoErr(err)
	original, err := document.Decode(raw)
	is.NoErr(err)
	is.Equal(document.Diff(original, again), []document.Change{{Path: "number", Old: "1", New: "3"}})
}
