package telemetry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/goleak"

	"pistachiomount.example/pistachiomount/settings"
	"pistachiomount.example/pistachiomount/telemetry"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var identity = telemetry.Identity{Service: "pm-test", VM: "vm-1"}

func newTelemetry(t *testing.T, s telemetry.Settings, outputs telemetry.Outputs) *telemetry.Telemetry {
	t.Helper()
	s.LogLevel = "info"
	tel, err := telemetry.New(s, identity, outputs)
	is.New(t).NoErr(err)
	return tel
}

func scrape(tel *telemetry.Telemetry) string {
	recorder := httptest.NewRecorder()
	tel.MetricsHandler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	return recorder.Body.String()
}

// Guards against metrics of one instance that appear in another one of the same process.
func TestMetricsOfTwoInstancesAreSeparate(t *testing.T) {
	is := is.New(t)
	a := newTelemetry(t, telemetry.Settings{Traces: telemetry.TracesOff}, telemetry.Outputs{})
	b := newTelemetry(t, telemetry.Settings{Traces: telemetry.TracesOff}, telemetry.Outputs{})
	counter, err := a.MeterProvider.Meter("test").Int64Counter("requests")
	is.NoErr(err)
	counter.Add(context.Background(), 3, metric.WithAttributes())
	is.True(strings.Contains(scrape(a), "requests_total 3"))
	is.True(!strings.Contains(scrape(b), "requests_total"))
	is.NoErr(a.Shutdown(context.Background()))
	is.NoErr(b.Shutdown(context.Background()))
}

// Guards against allocations per request while tracing is off.
func TestTracesOffAllocatesNothing(t *testing.T) {
	is := is.New(t)
	tel := newTelemetry(t, telemetry.Settings{Traces: telemetry.TracesOff}, telemetry.Outputs{})
	tracer := tel.TracerProvider.Tracer("test")
	ctx := context.Background()
	is.Equal(testing.AllocsPerRun(100, func() {
		_, span := tracer.Start(ctx, "hop")
		span.End()
	}), 0.0)
	is.NoErr(tel.Shutdown(ctx))
}

func TestTracesToStdoutFollowTraceparent(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	tel := newTelemetry(t, telemetry.Settings{Traces: telemetry.TracesStdout, TracesRatio: 0}, telemetry.Outputs{Traces: &out})
	const traceID = "4bf92f3577b34da6a3ce929d0e0e4736"
	header := propagation.MapCarrier{"traceparent": "00-" + traceID + "-00f067aa0ba902b7-01"}
	ctx := tel.Propagator.Extract(context.Background(), header)
	_, span := tel.TracerProvider.Tracer("test").Start(ctx, "hop")
	span.End()
	_, unsampled := tel.TracerProvider.Tracer("test").Start(context.Background(), "unsampled", trace.WithNewRoot())
	unsampled.End()
	is.NoErr(tel.Shutdown(context.Background()))
	is.True(strings.Contains(out.String(), traceID))
	is.True(!strings.Contains(out.String(), "unsampled"))
}

func TestTracesToCollector(t *testing.T) {
	is := is.New(t)
	var posts atomic.Int64
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/traces" {
			posts.Add(1)
		}
	}))
	defer collector.Close()
	address := settings.Address{AddrPort: netip.MustParseAddrPort(collector.Listener.Addr().String())}
	tel := newTelemetry(t, telemetry.Settings{Traces: telemetry.TracesOTLP, TracesRatio: 1, TracesAddress: address}, telemetry.Outputs{})
	_, span := tel.TracerProvider.Tracer("test").Start(context.Background(), "hop")
	span.End()
	is.NoErr(tel.Shutdown(context.Background()))
	is.Equal(posts.Load(), int64(1))
}

// Guards against lines on the log stream that are not JSON.
func TestFailedExportAndServerErrorsAreJSONLines(t *testing.T) {
	is := is.New(t)
	collector := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusBadRequest)
	}))
	defer collector.Close()
	address := settings.Address{AddrPort: netip.MustParseAddrPort(collector.Listener.Addr().String())}
	var out bytes.Buffer
	tel := newTelemetry(t, telemetry.Settings{Traces: telemetry.TracesOTLP, TracesRatio: 1, TracesAddress: address}, telemetry.Outputs{Logs: &out})
	_, span := tel.TracerProvider.Tracer("test").Start(context.Background(), "hop")
	span.End()
	is.NoErr(tel.Shutdown(context.Background()))
	telemetry.ServerLog(tel.Logger).Print("http: TLS handshake error")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	for i, message := range []string{"failed to export spans", "http: TLS handshake error"} {
		var line map[string]any
		is.NoErr(json.Unmarshal([]byte(lines[i]), &line))
		is.Equal(line["message"], message)
	}
}

func TestLoggerWritesJSONLines(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger, err := telemetry.NewLogger(&out, "info", identity)
	is.NoErr(err)
	logger.Debug("hidden")
	logger.WithField("listener", "http").Info("listening")
	var line map[string]string
	is.NoErr(json.Unmarshal(out.Bytes(), &line))
	is.Equal(line["message"], "listening")
	is.Equal(line["service"], "pm-test")
	is.Equal(line["vm"], "vm-1")
	is.Equal(line["listener"], "http")
	_, err = telemetry.NewLogger(&out, "loud", identity)
	is.True(errors.Is(err, telemetry.ErrSettings))
}
