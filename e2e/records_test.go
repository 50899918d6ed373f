package e2e_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"pistachiomount.example/pistachiomount/inventory"
	"pistachiomount.example/pistachiomount/standin"
)

// records returns the records of all running upstreams, by upstream id.
func (in *installation) records() map[string]standin.Record {
	in.t.Helper()
	all := map[string]standin.Record{}
	for _, p := range in.upstreams {
		if p.ended() {
			continue
		}
		var records []standin.Record
		exchangeJSON(in.t, http.MethodGet, p.address("control")+"/standin/record", nil, &records)
		for _, r := range records {
			all[r.Upstream] = r
		}
	}
	return all
}

// startCounts returns how often requests were started, grouped by the result of the
// selector; requests with the result "" are left out.
func (in *installation) startCounts(selector func(standin.RequestKey) string) map[string]int {
	counts := map[string]int{}
	for _, record := range in.records() {
		for _, r := range record.Requests {
			if name := selector(r.RequestKey); name != "" {
				counts[name] += r.Started
			}
		}
	}
	return counts
}

func byPath(prefix string) func(standin.RequestKey) string {
	return func(k standin.RequestKey) string {
		if strings.HasPrefix(k.Path, prefix) {
			return k.Path
		}
		return ""
	}
}

func sum(counts map[string]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// highestRunning returns the highest concurrency that any upstream recorded.
func (in *installation) highestRunning() int {
	highest := 0
	for _, r := range in.records() {
		highest = max(highest, r.Totals.HighestRunning)
	}
	return highest
}

// setBehaviour sets the behaviour of the upstreams of a process that match the query.
func setBehaviour(p *process, query string, b standin.Behaviour) {
	p.t.Helper()
	exchangeJSON(p.t, http.MethodPut, p.address("control")+"/standin?"+query, b, nil)
}

// listedUpstreams returns the platform's list.
func (in *installation) listedUpstreams() []inventory.Upstream {
	in.t.Helper()
	var list []inventory.Upstream
	exchangeJSON(in.t, http.MethodGet, in.platform.address("http")+"/v1/upstreams", nil, &list)
	return list
}

// exchangeJSON sends a request to a stand-in, which must succeed.
func exchangeJSON(t *testing.T, method, target string, in, out any) {
	t.Helper()
	body, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	if in == nil {
		body = nil
	}
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+target, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		t.Fatalf("%s %s: status %d", method, target, resp.StatusCode)
	}
	if out != nil {
		if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
			t.Fatal(err)
		}
	}
}
