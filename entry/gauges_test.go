package entry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/inventory"
)

// newDrainedDaemon returns a daemon with two upstreams, of which the document drains
// one.
func newDrainedDaemon(t *testing.T) *Daemon {
	d := newTestDaemon(t, &clock.Manual{}, &fakeDialer{}, "a")
	applyDocument(t, d, append(exampleDocument(t, 1), "drains:\n  - upstream: u1\n"...), 1)
	d.setUpstreams(inventory.List[inventory.Upstream]{Entries: []inventory.Upstream{
		{ID: "u1", Service: "records", Region: "cali", FailureDomain: "cali-1"},
		{ID: "u2", Service: "records", Region: "cali", FailureDomain: "cali-2"},
	}})
	return d
}

// Guards against metrics used by alarms that are never observed.
func TestMetricsOfTheDaemon(t *testing.T) {
	is := is.New(t)
	reader := sdkmetric.NewManualReader()
	d := newDrainedDaemon(t)
	is.NoErr(registerGauges(sdkmetric.NewMeterProvider(sdkmetric.WithReader(reader)).Meter("test"), d))
	_, err := d.syncer.poll(t.Context())
	is.True(err != nil)
	is.True(d.renewer.renew(t.Context()) != nil)
	var got metricdata.ResourceMetrics
	is.NoErr(reader.Collect(t.Context(), &got))
	sums := map[string]int64{}
	for _, m := range got.ScopeMetrics[0].Metrics {
		sums[m.Name] = 0
		switch data := m.Data.(type) {
		case metricdata.Sum[int64]:
			for _, p := range data.DataPoints {
				sums[m.Name] += p.Value
			}
		case metricdata.Gauge[int64]:
			for _, p := range data.DataPoints {
				sums[m.Name] += p.Value
			}
		}
	}
	for _, name := range []string{
		"pm_grants_held", "pm_turns_in_use", "pm_turns_waiting", "pm_turns_held", "pm_polls_failed", "pm_retries",
		"pm_jobs_run", "pm_drain_remaining",
	} {
		_, ok := sums[name]
		if !ok {
			t.Errorf("%s is not observed", name)
		}
	}
	is.Equal(sums["pm_renewals_failed"], int64(1))
	is.True(sums["pm_upstreams"] >= 2)
}

// Guards against a steering status that does not show the progress of a drain.
func TestSteeringStatus(t *testing.T) {
	is := is.New(t)
	w := httptest.NewRecorder()
	newDrainedDaemon(t).adminServer().Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/steering", nil))
	is.Equal(w.Code, 200)
	var got steeringStatus
	is.NoErr(json.NewDecoder(w.Body).Decode(&got))
	is.True(len(got.Regions) > 0)
	is.Equal(len(got.Upstreams), 2)
	is.Equal(got.Upstreams[0].ID, "u1")
	is.Equal(string(got.Upstreams[0].Use), "drained")
	is.Equal(len(got.Drains), 1)
	is.Equal(got.Drains[0].Upstream, "u1")
}
