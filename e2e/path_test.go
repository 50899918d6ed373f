package e2e_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against a broken path from a caller to an upstream and back.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	in := newInstallation(t, 3, 3)
	first := in.accept(documentWith(t, 1))
	in.awaitServing(first.Revision)
	entry := in.entries[0].address("callers")

	looked := request(t, entry, http.MethodGet, "/v1/lookup?service=records", "", nil)
	is.Equal(looked.status, http.StatusOK)
	var answer struct {
		EntryVMs []struct{ Address string } `json:"entry_vms"`
	}
	is.NoErr(json.Unmarshal(looked.body, &answer))
	is.True(len(answer.EntryVMs) > 1)

	got := request(t, entry, http.MethodGet, "/records/7?size=2000", "demo-key-belen", map[string]string{"X-Customer": "veracruz"})
	is.Equal(got.status, http.StatusOK)
	var echo struct{ Customer, Path string }
	is.NoErr(json.Unmarshal(got.body, &echo))
	is.Equal(echo.Customer, "belen") // not the one that the caller named

	refused := request(t, entry, http.MethodGet, "/records/7", "wrong-key", nil)
	reason, run := refused.reason()
	is.Equal(refused.status, http.StatusUnauthorized)
	is.Equal(reason, "key_unknown")
	is.Equal(run, "not_run")
}
