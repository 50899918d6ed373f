package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/gateway/egress"
	"pistachiomount.example/pistachiomount/gateway/ingress"
	"pistachiomount.example/pistachiomount/telemetry"
	"pistachiomount.example/pistachiomount/transport"
)

// Guards against metrics output that the official parser rejects, names or units outside the
// conventions, and labels with unbounded values.
func TestMetricsPageIsReadByTheOfficialParser(t *testing.T) {
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	observed, err := telemetry.New(telemetry.Settings{LogLevel: "info", Traces: "off"}, telemetry.Identity{Service: "gateway", VM: "v"}, telemetry.Outputs{Logs: io.Discard, Traces: io.Discard})
	is.NoErr(err)
	defer func() { _ = observed.Shutdown(context.Background()) }()
	rpc, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = rpc.Close() }()
	g, err := New(Config{
		VM: "v", Region: "r", FailureDomain: "d", RPCListener: rpc, Log: log, Clock: clock.NewSystemWithoutWall(),
		Security: &transport.Security{TrustedNetwork: true}, Meter: observed.MeterProvider.Meter("gateway"),
	})
	is.NoErr(err)
	g.metrics.recordRequest("s", http.StatusServiceUnavailable, ReasonOverCapacity, 30*time.Millisecond, 20*time.Millisecond)
	g.metrics.countAttempt("s", "r", "answered")
	g.metrics.countRateToken(tokenTaken)
	g.metrics.countRetryAfter("s", true)
	g.metrics.countStreamed("s", egress.StreamEnd{Complete: true, Early: 1})
	g.metrics.countRejection("s", true)
	g.recordCut(ingress.Cut{Status: http.StatusOK, Cause: ingress.CutTimeout, Stopping: true})

	page := httptest.NewRecorder()
	observed.MetricsHandler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(page.Body)
	is.NoErr(err)
	for _, name := range []string{
		"pm_gateway_requests_total", "pm_gateway_offers_total", "pm_gateway_request_duration_seconds", "pm_gateway_wait_seconds",
		"pm_gateway_region_reference_share", "pm_gateway_view_age_seconds", "pm_gateway_fleet", "pm_gateway_connections_opened_total",
		"pm_gateway_cut_responses_total", "pm_gateway_rate_tokens_total", "pm_gateway_rejections_total", "pm_gateway_over_capacity_retries_total", "pm_gateway_streamed_responses_total", "pm_gateway_streamed_early_bytes_total",
		"pm_gateway_long_responses", "pm_gateway_link_chunks_total", "pm_gateway_link_wait_seconds_total",
	} {
		if families[name] == nil {
			t.Errorf("%s is missing from the metrics output", name)
		}
	}
	bounded := []string{"service", "status_class", "reason", "outcome", "region", "event", "end"}
	for name, family := range families {
		if !strings.HasPrefix(name, "pm_gateway_") {
			continue
		}
		is.True(family.GetHelp() != "")
		for _, m := range family.GetMetric() {
			for _, label := range m.GetLabel() {
				is.True(slices.Contains(bounded, label.GetName()))
			}
		}
	}
}
