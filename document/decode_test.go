package document_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/document"
)

func exampleDocument(t testing.TB, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile("../examples/" + name + ".yaml")
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// Guards against examples that the decoder rejects.
func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"bancas", "tama-cuirs"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			doc, err := document.Decode(exampleDocument(t, name))
			is.NoErr(err)
			is.Equal(doc.Deployment, name)
			is.Equal(len(doc.Customers), 8)
			is.Equal(len(doc.Links), 6)
		})
	}
}

// Guards against accepting an invalid document, and against rejecting it without
// the line and field of the problem.
func TestProblemsNameLineAndField(t *testing.T) {
	cases := []struct {
		name, old, new, field, message string
	}{
		{"unknown field", "burst: 800", "bursst: 800", "bursst", "unknown field"},
		{"duplicate key", "    burst: 800\n", "    burst: 800\n    burst: 800\n", "burst", "already defined"},
		{"duplicate name", "name: belen", "name: veracruz", "customers[7].name", "duplicate"},
		{"zero limit", "rate: 400", "rate: 0", "customers[0].rate", "above 0"},
		{"negative limit", "rate: 400", "rate: -4", "customers[0].rate", "above 0"},
		{"not a number", "rate: 400", "rate: .nan", "customers[0].rate", "above 0"},
		{"weight sum", "bogota: 34", "bogota: 35", "steering[0].weights", "add up to 101"},
		{"unknown region", "cidr: 10.10.0.0/16\n    region: bogota", "cidr: 10.10.0.0/16\n    region: quito", "client_blocks[0].region", "unknown region"},
		{"key in clear", "sha256: ", "sha256: x", "customers[0].keys[0].sha256", "64 hexadecimal"},
		{"missing link", "to: medellin\n    bytes_per_second: 500000000", "to: cali\n    bytes_per_second: 500000000", "links", "every direction"},
		{"alias", "number: 1", "number: &a 1", "document", "anchors"},
		{"two documents", "number: 1", "number: 1\n---\nnumber: 2", "document", "exactly one"},
		{"reserved path", "prefix: /records", "prefix: /v1/records", "services[0].routes[0].prefix", "are reserved"},
		{"uncleaned path", "prefix: /records", "prefix: /a/../records", "services[0].routes[0].prefix", "cleaned"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			raw := strings.Replace(string(exampleDocument(t, "bancas")), c.old, c.new, 1)
			_, err := document.Decode([]byte(raw))
			var invalid *document.InvalidError
			is.True(errors.As(err, &invalid))
			found := false
			for _, p := range invalid.Problems {
				found = found || p.Field == c.field && p.Line > 0 && strings.Contains(p.Message, c.message)
			}
			if !found {
				t.Fatalf("no problem for field %s with message %q and a line: %v", c.field, c.message, err)
			}
		})
	}
}

// Guards against a panic of the decoder or the index on arbitrary input.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("deployment: a\nnumber: 1\n"))
	f.Add([]byte("a: &x [*x]"))
	f.Add([]byte("{"))
	f.Add(exampleDocument(f, "bancas"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		doc, err := document.Decode(raw)
		if err == nil {
			document.NewIndex(doc)
		}
	})
}
