package control

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	"pistachiomount.example/pistachiomount/document"
)

// collectMetrics returns all values by name and attribute values, separated by spaces.
func collectMetrics(t testing.TB, reader sdkmetric.Reader) map[string]float64 {
	t.Helper()
	var data metricdata.ResourceMetrics
	if err := reader.Collect(context.Background(), &data); err != nil {
		t.Fatal(err)
	}
	values := map[string]float64{}
	for _, m := range data.ScopeMetrics[0].Metrics {
		switch d := m.Data.(type) {
		case metricdata.Sum[int64]:
			for _, p := range d.DataPoints {
				values[m.Name+attributesOf(p)] = float64(p.Value)
			}
		case metricdata.Gauge[int64]:
			for _, p := range d.DataPoints {
				values[m.Name+attributesOf(p)] = float64(p.Value)
			}
		case metricdata.Gauge[float64]:
			values[m.Name] = d.DataPoints[0].Value
		case metricdata.Histogram[float64]:
			values[m.Name] = float64(d.DataPoints[0].Count)
		}
	}
	return values
}

func attributesOf[N int64 | float64](p metricdata.DataPoint[N]) string {
	words := ""
	for _, a := range p.Attributes.ToSlice() {
		words += " " + a.Value.AsString()
	}
	return words
}

// Guards against missing or wrong metrics that alerts depend on, and against an audit log
// without the operator or with a secret.
func TestMetricsAndAudit(t *testing.T) {
	simulate(t, 3, func(b *simCluster) {
		is := is.New(b.t)
		leader := b.leader()
		d := leader.daemon.Load()
		reader := sdkmetric.NewManualReader()
		meter := sdkmetric.NewMeterProvider(sdkmetric.WithReader(reader)).Meter("control")
		var err error
		d.metrics, err = newDaemonMetrics(meter)
		is.NoErr(err)
		unregister, err := registerGauges(meter, d)
		is.NoErr(err)
		log, hook := logtest.NewNullLogger()
		d.cfg.Log = log

		leader.submit("trial", documentOf(1, 0))
		leader.submit("trial", documentOf(1, 0))
		leader.submit("trial", documentOf(1, 1))
		leader.submit("production", documentOf(2, 0))
		leader.submit("trial", []byte("number: x"))
		for range 2 {
			_, err := leader.service().Renew(b.ctx, renewalRequest(1))
			is.NoErr(err)
		}
		w := &watcher{node: leader}
		b.eventually("a confirmed view", func() bool { return w.poll() == nil && w.confirmed })
		got := collectMetrics(b.t, reader)
		for name, want := range map[string]float64{
			"pm_control_leader": 1, "pm_control_voter": 1, "pm_control_term": float64(leader.status().Term),
			"pm_control_commit_index":  float64(leader.status().Commit),
			"pm_control_applied_index": float64(leader.status().Applied),
			"pm_control_holders trial": 1, "pm_control_holders production": 0, "pm_control_jobs_queued trial": 0,
			"pm_control_documents trial accepted": 1, "pm_control_documents trial repeated": 1,
			"pm_control_documents trial conflict": 1, "pm_control_documents trial invalid": 1,
			"pm_control_documents production not_in_trial": 1,
			"pm_control_renewals trial renewed":            1, "pm_control_renewals trial stale": 1,
		} {
			if value, ok := got[name]; !ok || value != want {
				b.t.Errorf("%s: %v (present: %v), expected %v", name, value, ok, want)
			}
		}
		age, ok := got["pm_control_confirmation_age"]
		is.True(ok && age >= 0 && age < 1)
		checkAudit(b.t, hook.AllEntries())
		leader.pause(2 * time.Second)
		time.Sleep(100 * time.Millisecond)
		var data metricdata.ResourceMetrics
		is.True(reader.Collect(b.ctx, &data) != nil) // a blocked loop yields an error, and the collection does not block
		is.NoErr(unregister())
	})
}

func checkAudit(t testing.TB, entries []*logrus.Entry) {
	t.Helper()
	is := is.New(t)
	is.Equal(len(entries), 5)
	is.Equal(entries[0].Data, logrus.Fields{
		"operator": "ana", "environment": "trial", "number": uint64(1),
		"digest": document.Digest(documentOf(1, 0)), "result": "accepted",
	})
	for _, e := range entries {
		line := fmt.Sprint(e.Message, e.Data)
		is.True(!strings.Contains(line, operatorToken) && !strings.Contains(line, tokenDigest) && !strings.Contains(line, "sha256"))
	}
}

// Guards against sync times and snapshots that are not recorded.
func TestStorageMetrics(t *testing.T) {
	is := is.New(t)
	reader := sdkmetric.NewManualReader()
	o, err := newDaemonMetrics(sdkmetric.NewMeterProvider(sdkmetric.WithReader(reader)).Meter("control"))
	is.NoErr(err)
	s := &instrumentedStorage{&memStorage{failing: true}, o, processClock{}}
	is.True(s.Save(nil, nil) != nil) // a failure is returned
	is.True(s.SaveSnapshot(snapshotAt(2)) != nil)
	s.Storage = &memStorage{}
	is.NoErr(s.Save(nil, nil))
	is.NoErr(s.SaveSnapshot(snapshotAt(2)))
	got := collectMetrics(t, reader)
	is.Equal(got["pm_control_sync_duration"], 2.0)
	is.Equal(got["pm_control_snapshots"], 1.0)
}
