package e2e_test

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/standin"
)

const belenDigest = "6975be431f6a41b3c02de26c539c4e05da4e5bebf862bec4a7e68f4339d67791"

// revokeBelenKey returns the replacements that revoke the demonstration key of belen.
func revokeBelenKey() []string {
	other := sha256.Sum256([]byte("another key"))
	return []string{belenDigest, hex.EncodeToString(other[:])}
}

// Guards against keys that reach an upstream, against requests that run for a
// customer other than the owner of the key, and against rejected requests that ran.
func TestKeysAreStrippedAndIdentifyTheCustomer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	in := newInstallation(t, 3, 3)
	in.awaitServing(in.submitAccepted(documentWith(t, 1)).Revision)
	const belen = "demo-key-belen"
	cases := []struct {
		name, path, key string
		header          map[string]string
		status          int
	}{
		{name: "header", path: "/records/belen-1", key: belen, status: http.StatusOK},
		{name: "bearer", path: "/records/belen-2", header: map[string]string{"Authorization": "Bearer " + belen}, status: http.StatusOK},
		{name: "named customer", path: "/records/belen-3", key: belen, header: map[string]string{"X-Customer": "veracruz"}, status: http.StatusOK},
		{name: "other headers", path: "/records/belen-4", key: belen, header: map[string]string{"X-Forwarded-For": belen, "Forwarded": belen, "Cookie": "a=" + belen, "X-Other": belen}},
		{name: "path", path: "/records/belen-5/" + belen, key: belen},
		{name: "query", path: "/records/none-1?api_key=" + belen, status: http.StatusBadRequest},
		{name: "two keys", path: "/records/none-2", key: belen, header: map[string]string{"Authorization": "Bearer demo-key-veracruz"}, status: http.StatusBadRequest},
		{name: "no key", path: "/records/none-3", status: http.StatusUnauthorized},
		{name: "wrong key", path: "/records/none-4", key: "demo-key-belem", status: http.StatusUnauthorized},
		{name: "service of others", path: "/invoices/none-5", key: "demo-key-santa-rita", status: http.StatusForbidden},
	}
	for _, c := range cases {
		for _, e := range in.entries {
			got := requestUntilAdmitted(t, e.address("callers"), http.MethodGet, c.path, c.key, c.header)
			is.NoErr(got.err)
			if c.status != 0 && got.status != c.status {
				t.Errorf("%s at %s: status %d, expected %d: %s", c.name, e.name, got.status, c.status, got.body)
			}
		}
	}
	for upstream, r := range in.records() {
		if r.SecretSeen {
			t.Errorf("%s saw a key in %v", upstream, r.SecretLocations)
		}
	}
	for path := range in.startCounts(byPath("/records/none")) {
		t.Errorf("%s ran although it was rejected", path)
	}
	wrong := in.startCounts(func(k standin.RequestKey) string {
		if strings.HasPrefix(k.Path, "/records/belen") && k.Customer != "belen" {
			return k.Path + " for " + k.Customer
		}
		return ""
	})
	is.Equal(len(wrong), 0) // run for another customer
	is.True(len(in.startCounts(byPath("/records/belen-1"))) > 0)
}

// responseStream is a response that a caller reads slowly.
type responseStream struct {
	done      chan error
	bytesRead int64
}

// openStream requests a response of the given size, reads the first MiB, and reads
// the rest once proceed is closed.
func openStream(t *testing.T, address, key, size string, proceed <-chan struct{}) *responseStream {
	t.Helper()
	var resp *http.Response
	eventually(t, "stream begins", func() bool {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/records/stream?size="+size, nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("X-Api-Key", key)
		resp, err = (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != http.StatusOK {
			_ = resp.Body.Close()
		}
		return resp.StatusCode == http.StatusOK
	})
	s := &responseStream{done: make(chan error, 1)}
	go func() {
		defer func() { _ = resp.Body.Close() }()
		n, _ := io.CopyN(io.Discard, resp.Body, 1<<20)
		<-proceed // the rest stays buffered in the connection and at the upstream
		rest, err := io.Copy(io.Discard, resp.Body)
		s.bytesRead = n + rest
		s.done <- err
	}()
	return s
}

// Guards against a revoked key that keeps working on an entry VM, on an open
// connection or for a response in progress, and against a revocation that cuts
// the responses of other customers.
func TestRevokedKeyIsRejectedAtEveryEntryVM(t *testing.T) {
	t.Parallel()
	in := newInstallation(t, 3, 3)
	long := []string{"deadline_ms: 2000", "deadline_ms: 30000"}
	in.awaitServing(in.submitAccepted(documentWith(t, 1, long...)).Revision)
	const size = 60 << 20 // beyond what the buffers of the connections hold
	clients := make([]*http.Client, len(in.entries))
	proceed := make(chan struct{})
	var revoked, valid []*responseStream
	for i, e := range in.entries {
		clients[i] = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
		eventually(t, "served at "+e.name, func() bool {
			status, _ := keepAliveRequest(t, clients[i], e.address("callers"), "demo-key-belen")
			return status == http.StatusOK
		})
		revoked = append(revoked, openStream(t, e.address("callers"), "demo-key-belen", "62914560", proceed))
		valid = append(valid, openStream(t, e.address("callers"), "demo-key-veracruz", "62914560", proceed))
	}
	in.submitAccepted(documentWith(t, 2, append(long, revokeBelenKey()...)...))
	for i, e := range in.entries {
		eventually(t, "rejected at "+e.name, func() bool {
			status, reused := keepAliveRequest(t, clients[i], e.address("callers"), "demo-key-belen")
			return status == http.StatusUnauthorized && reused
		})
	}
	before := sum(in.startCounts(byPath("/records/kept")))
	close(proceed)
	for i, e := range in.entries {
		if err := <-revoked[i].done; err == nil {
			t.Errorf("%s: the response for a revoked key was completed", e.name)
		}
		if err := <-valid[i].done; err != nil || valid[i].bytesRead != size {
			t.Errorf("%s: the response of another customer ended after %d bytes: %v", e.name, valid[i].bytesRead, err)
		}
		if status, _ := keepAliveRequest(t, clients[i], e.address("callers"), "demo-key-belen"); status != http.StatusUnauthorized {
			t.Errorf("%s: status %d after the revocation", e.name, status)
		}
	}
	if after := sum(in.startCounts(byPath("/records/kept"))); after != before {
		t.Errorf("%d requests ran after the revocation", after-before)
	}
}
