package e2e_test

import (
	"fmt"
	"net/http"
	"testing"

	"pistachiomount.example/pistachiomount/platform"
)

// fleetStatus returns the status with which a gateway responds to a request with the key, or without one if it is
// empty; 0 if there is no response.
func fleetStatus(f *fleet, path, key string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+f.address("gateway", 0, fleetCallerPort)+path, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	names := platform.CallerHeaders()
	request.Host = "a.example"
	request.Header.Set(names.RequestID, path)
	if key != "" {
		request.Header.Set(names.Key, key)
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// restartAll kills all VMs and starts them again.
func (f *fleet) restartAll() {
	f.t.Helper()
	for _, p := range append(append([]*process(nil), f.controls...), f.gateways...) {
		p.kill()
	}
	for i := range f.controls {
		f.restartVM("control", i)
	}
	for i := range f.gateways {
		f.restartVM("gateway", i)
	}
}

// Guards against routes that are open to all callers once the last customer was removed, also after a restart, and
// against a deployment without keys that is closed.
func TestRemovalOfTheLastCustomerLeavesRoutesClosed(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 1, 3)
	requests := 0
	get := func(route, key string) int {
		requests++
		return fleetStatus(f, fmt.Sprintf("/%s/%d", route, requests), key)
	}
	// refused waits until keyed routes are closed. No key may run a request from then on.
	refused := func() {
		t.Helper()
		eventually(t, "requests are refused", func() bool { return get("look", soakKey) == http.StatusUnauthorized })
		for _, key := range []string{soakKey, "never-granted", ""} {
			for _, route := range []string{"look", "book"} {
				if status := get(route, key); status != http.StatusUnauthorized {
					t.Errorf("%s with key %q: status %d, want 401", route, key, status)
				}
			}
		}
		eventually(t, "public routes are open", func() bool { return get("open", "") == http.StatusOK })
	}
	f.putConfigWith(1, 0, fmt.Sprintf(`,"tenants":[{"name":"t","apiKeys":[%q]}]`, soakKey))
	eventually(t, "the customer is served", func() bool { return get("look", soakKey) == http.StatusOK })
	f.putConfigWith(2, 1, `,"tenants":[]`)
	refused()
	f.restartAll()
	refused()
	f.putConfigWith(3, 2, "")
	eventually(t, "a deployment without keys is open", func() bool { return get("book", "") == http.StatusOK })
	f.restartAll()
	eventually(t, "it is open after a restart", func() bool { return get("book", "never-granted") == http.StatusOK })
}
