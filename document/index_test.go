package document_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/document"
)

// Guards against authenticating a key as another customer, and against prefixes
// that match part of a path segment.
func TestIndex(t *testing.T) {
	is := is.New(t)
	doc, err := document.Decode(exampleDocument(t, "bancas"))
	is.NoErr(err)
	ix := document.NewIndex(doc)

	customer, keyID, ok := ix.Authenticate(document.KeyDigest("demo-key-belen"))
	is.True(ok)
	is.Equal(customer.Name, "belen")
	is.Equal(keyID, "first")
	_, _, ok = ix.Authenticate(document.KeyDigest("demo-key-nobody"))
	is.True(!ok)

	match, ok := ix.Match("/records/12")
	is.True(ok)
	is.Equal(match.Service.Name, "records")
	_, ok = ix.Match("/recordsx")
	is.True(!ok)
}

// Guards against a diff that omits a change or reports a reordered list item.
func TestDiff(t *testing.T) {
	is := is.New(t)
	raw := exampleDocument(t, "bancas")
	before, err := document.Decode(raw)
	is.NoErr(err)
	changed := bytes.Replace(raw, []byte("rate: 400"), []byte("rate: 500"), 1)
	after, err := document.Decode(changed)
	is.NoErr(err)
	after.Customers[1], after.Customers[2] = after.Customers[2], after.Customers[1]
	is.Equal(document.Diff(before, after), []document.Change{
		{Path: "customers.catedral-primada.rate", Old: "400", New: "500"},
	})
}
