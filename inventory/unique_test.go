package inventory

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against an entry of another writer that replaces an upstream because it has the same id.
func TestEntryOfAnUnknownServiceReplacesNoUpstream(t *testing.T) {
	is := is.New(t)
	sound, odd, other := Upstream{ID: "i-1", Service: "s", Slots: 9}, Upstream{ID: "i-1", Service: "unknown"}, Upstream{ID: "i-2", Service: "unknown"}
	named := func(service string) bool { return service == "s" }
	is.Equal(Unique([]Upstream{sound, odd, other}, named), []Upstream{sound, other})
	is.Equal(Unique([]Upstream{odd, other, sound}, named), []Upstream{sound, other})
	is.Equal(Unique([]Upstream{other, odd, odd}, named), []Upstream{other, odd})
	is.Equal(Unique([]Upstream{sound, {ID: "i-1", Service: "s"}}, named), []Upstream{sound})
}
