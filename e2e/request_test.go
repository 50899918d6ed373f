package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"testing"
	"time"
)

// response is the result of a request as a caller sees it.
type response struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// reason returns the machine-readable reason and run state of a rejection.
func (r response) reason() (reason, run string) {
	var rejection struct {
		Error struct{ Reason, Run string }
	}
	_ = json.Unmarshal(r.body, &rejection)
	return rejection.Error.Reason, rejection.Error.Run
}

// request sends one request on a new connection.
func request(t *testing.T, address, method, path, key string, header map[string]string) response {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader([]byte(`{"truck":1}`))
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		r.Header.Set("X-Api-Key", key)
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: data, err: err}
}

// keepAliveRequest sends a request with a client that reuses its connection, and reports
// whether the connection was reused.
func keepAliveRequest(t *testing.T, client *http.Client, address, key string) (status int, reused bool) {
	t.Helper()
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }}
	ctx := httptrace.WithClientTrace(t.Context(), trace)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/records/kept", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("X-Api-Key", key)
	resp, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, reused
}

// lookupAddresses returns the addresses in a lookup response.
func lookupAddresses(t *testing.T, address string) []string {
	t.Helper()
	got := request(t, address, http.MethodGet, "/v1/lookup?service=records", "", nil)
	var list struct {
		EntryVMs []struct{ Address string } `json:"entry_vms"`
	}
	_ = json.Unmarshal(got.body, &list)
	var addresses []string
	for _, vm := range list.EntryVMs {
		addresses = append(addresses, vm.Address)
	}
	return addresses
}

// requestUntilAdmitted repeats a request while it is rejected for lack of rate or
// capacity, because new entry VMs hold few grants.
func requestUntilAdmitted(t *testing.T, address, method, path, key string, header map[string]string) response {
	t.Helper()
	var got response
	eventually(t, path+" not rejected for lack of rate or capacity", func() bool {
		got = request(t, address, method, path, key, header)
		reason, run := got.reason()
		return run != "not_run" || reason != "over_rate" && reason != "over_capacity"
	})
	return got
}
