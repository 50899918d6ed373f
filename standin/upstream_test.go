package standin_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus/hooks/test"
	"go.uber.org/goleak"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/inventory"
	"pistachiomount.example/pistachiomount/settings"
	"pistachiomount.example/pistachiomount/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var loopback = settings.Address{AddrPort: netip.MustParseAddrPort("127.0.0.1:0")}

// testUpstream is a running upstream server and a client without connection reuse.
type testUpstream struct {
	*standin.UpstreamServer
	url    string
	client *http.Client
}

func startUpstream(t *testing.T, config standin.UpstreamConfig) testUpstream {
	t.Helper()
	is := is.New(t)
	config.ID = "u-1"
	upstream, err := standin.NewUpstream(config)
	is.NoErr(err)
	logger, _ := test.NewNullLogger()
	server, err := standin.StartUpstream(upstream, loopback, logger)
	is.NoErr(err)
	t.Cleanup(server.Close)
	return testUpstream{server, "http://" + server.Address().String(), &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

func (s testUpstream) send(ctx context.Context, path, body string, header http.Header) (int, string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Header = header
	response, err := s.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

func (s testUpstream) setMode(t *testing.T, mode standin.Mode) {
	t.Helper()
	is.New(t).NoErr(s.Upstream().SetBehaviour(standin.Behaviour{Mode: mode}))
}

// gate blocks requests until released, and signals each arrival.
type gate struct{ arrived, release chan struct{} }

func newGate() gate { return gate{make(chan struct{}, 100), make(chan struct{})} }

func (g gate) wait(ctx context.Context, _ time.Duration) error {
	g.arrived <- struct{}{}
	select {
	case <-g.release:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func TestUpstreamEchoesAndRecords(t *testing.T) {
	is := is.New(t)
	s := startUpstream(t, standin.UpstreamConfig{})
	header := http.Header{"X-Customer": {"sol"}, "X-Request-Id": {"r-1"}, "Idempotency-Key": {"k-1"}}
	for range 2 {
		status, body, err := s.send(context.Background(), "/bookings/7?size=500", "12345", header)
		is.NoErr(err)
		is.Equal(status, 200)
		is.Equal(len(body), 500)
		var echo standin.Echo
		is.NoErr(json.Unmarshal([]byte(body), &echo))
		is.Equal(echo, standin.Echo{
			Upstream: "u-1", Customer: "sol", RequestID: "r-1", Method: "POST",
			Path: "/bookings/7", IdempotencyKey: "k-1", BodyBytes: 5,
		})
	}
	record := s.Upstream().Record()
	is.Equal(len(record.Requests), 1)
	is.Equal(record.Requests[0].Started, 2)
	is.Equal(record.Requests[0].Finished, 2)
	is.Equal(record.StartedByCustomer["sol"], 2)
	is.True(!record.SecretSeen)
}

// Guards against a leaked key that the stand-in does not detect.
func TestUpstreamDetectsSecrets(t *testing.T) {
	const secret = "SECRET-KEY"
	splitBody := strings.Repeat("x", 64<<10-4) + secret
	cases := map[string]struct{ path, body, header, trailer string }{
		"header":       {header: "Bearer " + secret},
		"query":        {path: "?a=SECRET%2DKEY"},
		"path":         {path: secret},
		"body":         {body: secret},
		"across parts": {body: splitBody},
		"trailer":      {trailer: secret},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u, err := standin.NewUpstream(standin.UpstreamConfig{Secrets: []string{secret}})
			is.NoErr(err)
			request := httptest.NewRequest("POST", "/"+c.path, strings.NewReader(c.body))
			request.Header.Set("X-Other", c.header)
			request.Trailer = http.Header{"X-Sum": {c.trailer}}
			u.ServeHTTP(httptest.NewRecorder(), request)
			record := u.Record()
			is.True(record.SecretSeen)
			data, err := json.Marshal(record)
			is.NoErr(err)
			is.True(name == "path" || !strings.Contains(string(data), secret))
		})
	}
}

// Guards against records that grow with the number of requests.
func TestRecordIsBounded(t *testing.T) {
	is := is.New(t)
	u, err := standin.NewUpstream(standin.UpstreamConfig{MaxRecords: 2})
	is.NoErr(err)
	for _, path := range []string{"/a", "/b", "/c", "/d"} {
		is.Equal(do(u, "GET", path, "").Code, 200)
	}
	is.Equal(len(u.Record().Requests), 2)
	is.Equal(u.Record().Unrecorded, 2)
	is.Equal(u.Record().Totals.Finished, 4)
}

func TestSlotsQueueAndCancellation(t *testing.T) {
	is := is.New(t)
	g := newGate()
	s := startUpstream(t, standin.UpstreamConfig{Slots: 2, Wait: g.wait})
	ctx, cancel := context.WithCancel(context.Background())
	results := make(chan error, 2)
	for range 2 {
		go func() {
			_, _, err := s.send(ctx, "/", "", nil)
			results <- err
		}()
		<-g.arrived
	}
	is.Equal(s.Upstream().Record().Totals.HighestRunning, 2)
	is.True(strings.Contains(do(s.Upstream(), "GET", "/load", "").Body.String(), `"in_flight":2`))
	status, _, err := s.send(context.Background(), "/", "", nil)
	is.NoErr(err)
	is.Equal(status, 503)
	cancel()
	is.True(<-results != nil)
	is.True(<-results != nil)
	is.NoErr(s.Shutdown(context.Background())) // returns when both handlers have ended
	totals := s.Upstream().Record().Totals
	is.Equal(totals.Shed, 1)
	is.Equal(totals.Cancelled, 2)
	is.Equal(totals.Finished, 0)
}

func TestDeadlineStopsRequest(t *testing.T) {
	is := is.New(t)
	s := startUpstream(t, standin.UpstreamConfig{Wait: newGate().wait})
	status, _, err := s.send(context.Background(), "/", "", http.Header{"X-Request-Deadline-Ms": {"1"}})
	is.NoErr(err)
	is.Equal(status, 504)
	is.Equal(s.Upstream().Record().Totals.DeadlineExceeded, 1)
}

func TestStatusModes(t *testing.T) {
	is := is.New(t)
	u, err := standin.NewUpstream(standin.UpstreamConfig{})
	is.NoErr(err)
	cases := []struct {
		body     string
		status   int
		health   int
		draining string
		ran      int
	}{
		{`{"mode":"fail_500"}`, 500, 200, "", 0},
		{`{"mode":"fail_503","unhealthy":true}`, 503, 503, "", 0},
		{`{"mode":"draining"}`, 200, 200, "true", 1},
		{`{"mode":"draining_503"}`, 503, 503, "", 1},
		{`{"mode":"fail_after_run"}`, 500, 200, "", 2},
		{`{"mode":"normal"}`, 200, 200, "", 3},
	}
	for _, c := range cases {
		is.Equal(do(u, "PUT", "/standin", c.body).Code, 204)
		response := do(u, "GET", "/x", "")
		is.Equal(response.Code, c.status)
		is.Equal(response.Header().Get("X-Draining"), c.draining)
		is.Equal(do(u, "GET", "/healthz", "").Code, c.health)
		is.Equal(u.Record().Totals.Finished, c.ran)
	}
	is.Equal(do(u, "PUT", "/standin", `{"mode":"asleep"}`).Code, 400)
	is.Equal(do(u, "PUT", "/standin", `{"load":{"in_flight":0,"slots":99}}`).Code, 204)
	is.True(strings.Contains(do(u, "GET", "/load", "").Body.String(), `"slots":99`))
}

// Guards against a cut response that looks complete, and against a cut request that did not run.
func TestCutResponseIsIncomplete(t *testing.T) {
	is := is.New(t)
	s := startUpstream(t, standin.UpstreamConfig{})
	s.setMode(t, standin.ModeCut)
	status, body, err := s.send(context.Background(), "/?size=1000", "", nil)
	is.Equal(status, 200)
	is.Equal(len(body), 500)
	is.True(err != nil)
	is.Equal(s.Upstream().Record().Totals.Finished, 1)
}

func TestRefuseClosesAndReopensTheSameAddress(t *testing.T) {
	is := is.New(t)
	s := startUpstream(t, standin.UpstreamConfig{})
	s.setMode(t, standin.ModeRefuse)
	_, err := net.Dial("tcp", s.Address().String())
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	s.setMode(t, standin.ModeNormal)
	status, _, err := s.send(context.Background(), "/", "", nil)
	is.NoErr(err)
	is.Equal(status, 200)
}

// Guards against ModeSilentOpen affecting connections that are opened after it was set.
func TestSilentOpenAffectsOnlyOpenConnections(t *testing.T) {
	is := is.New(t)
	s := startUpstream(t, standin.UpstreamConfig{})
	old, err := net.Dial("tcp", s.Address().String())
	is.NoErr(err)
	defer func() { _ = old.Close() }()
	reader := bufio.NewReader(old)
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	_, err = io.WriteString(old, request)
	is.NoErr(err)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	s.setMode(t, standin.ModeSilentOpen)
	status, _, err := s.send(context.Background(), "/", "", nil)
	is.NoErr(err)
	is.Equal(status, 200)
	_, err = io.WriteString(old, request)
	is.NoErr(err)
	is.NoErr(old.(*net.TCPConn).CloseWrite()) // ends the request that gets no response
	_, err = reader.ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(s.Upstream().Record().Totals.Silenced, 1)
}

func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	s := startUpstream(t, standin.UpstreamConfig{MaxConnections: 1})
	first, err := net.Dial("tcp", s.Address().String())
	is.NoErr(err)
	defer func() { _ = first.Close() }()
	_, _, err = s.send(context.Background(), "/", "", nil)
	is.True(err != nil)
	is.Equal(s.Upstream().Record().Totals.RejectedConnections, 1)
}

func TestServiceTimesRepeatWithSeedAndColdStart(t *testing.T) {
	is := is.New(t)
	run := func() (times []time.Duration) {
		u, err := standin.NewUpstream(standin.UpstreamConfig{
			ServiceTimeMS: 10, JitterMS: 5, Seed: 7, ColdRequests: 1, ColdFactor: 10,
			Wait: func(_ context.Context, d time.Duration) error { times = append(times, d); return nil },
		})
		is.NoErr(err)
		for range 3 {
			is.Equal(do(u, "GET", "/", "").Code, 200)
		}
		return times
	}
	times := run()
	is.True(times[0] >= 100*time.Millisecond)
	is.True(times[1] >= 10*time.Millisecond && times[1] < 15*time.Millisecond)
	is.Equal(times, run())
}

func TestFleetRegistersAndControls(t *testing.T) {
	is := is.New(t)
	logger, _ := test.NewNullLogger()
	member := func(id, region string) standin.FleetMember {
		config := standin.UpstreamConfig{ID: id, Service: "records", Region: region, FailureDomain: "a"}
		return standin.FleetMember{UpstreamConfig: config, Address: loopback}
	}
	fleet, err := standin.StartFleet(standin.FleetConfig{Upstreams: []standin.FleetMember{member("u-1", "bogota"), member("u-2", "cali")}}, logger)
	is.NoErr(err)
	defer fleet.Close()
	p, err := standin.NewPlatform(&clock.Manual{}, standin.Lists{}, standin.PlatformOptions{})
	is.NoErr(err)
	server := httptest.NewServer(p)
	defer server.Close()
	address := settings.Address{AddrPort: netip.MustParseAddrPort(server.Listener.Addr().String())}
	is.NoErr(standin.RegisterUpstreams(context.Background(), address, fleet.InventoryEntries()))
	is.Equal(p.Lists().Upstreams, fleet.InventoryEntries())
	is.Equal(p.Lists().Upstreams[0].State, inventory.Live)

	is.Equal(do(fleet, "PUT", "/upstreams/u-9/standin", `{"mode":"refuse"}`).Code, 404)
	is.Equal(do(fleet, "PUT", "/upstreams/u-1/standin", `{"mode":"refuse"}`).Code, 204)
	is.Equal(do(fleet, "PUT", "/standin?region=cali", `{"mode":"fail_500"}`).Code, 204)
	is.True(strings.Contains(do(fleet, "GET", "/upstreams/u-1/standin", "").Body.String(), "refuse"))
	is.Equal(do(fleet.Server("u-2").Upstream(), "GET", "/", "").Code, 500)
	is.True(strings.Contains(do(fleet, "GET", "/standin/record", "").Body.String(), `"failed":1`))
}
