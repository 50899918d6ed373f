package e2e_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Checks lookup, a forwarded request and a rejected one from caller to upstream and back.
func TestRequestPath(t *testing.T) {
	is := is.New(t)
	in := newInstallation(t, 3, 3)
	first := in.submitAccepted(documentWith(t, 1))
	in.awaitServing(first.Revision)
	entry := in.entries[0].address("callers")

	found := request(t, entry, http.MethodGet, "/v1/lookup?service=records", "", nil)
	is.Equal(found.status, http.StatusOK)
	var list struct {
		EntryVMs []struct{ Address string } `json:"entry_vms"`
	}
	is.NoErr(json.Unmarshal(found.body, &list))
	is.True(len(list.EntryVMs) > 1)

	got := request(t, entry, http.MethodGet, "/records/7?size=2000", "demo-key-belen", map[string]string{"X-Customer": "veracruz"})
	is.Equal(got.status, http.StatusOK)
	var echo struct{ Customer, Path string }
	is.NoErr(json.Unmarshal(got.body, &echo))
	is.Equal(echo.Customer, "belen") // not the one that the caller named

	rejected := request(t, entry, http.MethodGet, "/records/7", "wrong-key", nil)
	reason, run := rejected.reason()
	is.Equal(rejected.status, http.StatusUnauthorized)
	is.Equal(reason, "key_unknown")
	is.Equal(run, "not_run")
}
