package e2e_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"pistachiomount.example/pistachiomount/platform"
)

const (
	// freshCallers is one in how many callers opens a connection for each request. The others keep using
	// theirs until they end.
	freshCallers = 3
	// ratedCallers is one in how many callers belongs to the customer with the low rate, and leavingShare the
	// share of its requests whose caller leaves early.
	ratedCallers = 4
	leavingShare = 0.3
	// maxStay is the longest time after which a caller leaves.
	maxStay = 25 * time.Millisecond
	// leftEarly is recorded as the status of requests whose caller has left.
	leftEarly = -1
	// callerTimeout is how long a caller waits for a response; it tells the gateway callerDeadlineMS.
	callerTimeout    = 4 * time.Second
	callerDeadlineMS = "3000"
)

// soakCaller sends requests one at a time.
type soakCaller struct {
	s   *soak
	rng *rand.Rand
	key string
	// transport keeps connections; nil for a caller that opens one for each request.
	transport *http.Transport
}

func newSoakCaller(s *soak, number int, rng *rand.Rand) *soakCaller {
	c := &soakCaller{s: s, rng: rng, key: soakKey}
	if number%freshCallers != 0 {
		c.transport = &http.Transport{DialContext: dialWithoutTimeWait, MaxIdleConnsPerHost: 1}
	}
	if number%ratedCallers == 1 {
		c.key = ratedKey
	}
	return c
}

func (c *soakCaller) sendUntilDone(ctx context.Context) {
	for ctx.Err() == nil {
		switch c.sendRandom(context.WithoutCancel(ctx)) {
		case 0, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			time.Sleep(20 * time.Millisecond) // no listener, no complete response, no token or no room
		}
	}
	if c.transport != nil {
		c.transport.CloseIdleConnections()
	}
}

// sendRandom sends a request of a random kind to a random gateway and returns its status.
func (c *soakCaller) sendRandom(ctx context.Context) int {
	request := soakRequest{
		gateway: c.rng.IntN(len(c.s.f.gateways)), method: http.MethodGet, path: fmt.Sprintf("/look/%d", c.rng.IntN(50)),
		key: c.key, transport: c.transport,
	}
	if c.rng.IntN(2) == 0 {
		request.method, request.path = http.MethodPost, "/book/1"
	}
	if c.key == ratedKey && c.rng.Float64() < leavingShare {
		request.stay = time.Duration(1 + c.rng.Int64N(int64(maxStay)))
	}
	return c.s.sendRequest(ctx, request)
}

// soakRequest is a request to a gateway.
type soakRequest struct {
	gateway           int
	method, path, key string
	// transport keeps connections; nil for a request on a connection of its own.
	transport *http.Transport
	// stay is when the caller leaves; 0 if it waits for the response.
	stay time.Duration
}

// send sends one request on a connection of its own and checks the response. It returns the
// status, or 0 without a complete response.
func (s *soak) send(ctx context.Context, gateway int, method, path string) int {
	return s.sendRequest(ctx, soakRequest{gateway: gateway, method: method, path: path, key: soakKey})
}

// sendRequest sends one request with a unique id and checks the response. It returns the status, 0 without a
// complete response, or leftEarly.
func (s *soak) sendRequest(ctx context.Context, request soakRequest) int {
	id := fmt.Sprintf("%s-%d", strings.ToLower(request.method), s.next.Add(1))
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	if request.stay > 0 {
		defer time.AfterFunc(request.stay, cancel).Stop()
	}
	r, err := http.NewRequestWithContext(ctx, request.method, "http://"+s.f.address("gateway", request.gateway, fleetCallerPort)+request.path, nil)
	if err != nil {
		s.f.t.Error(err)
		return 0
	}
	r.Host = "a.example"
	names := platform.CallerHeaders()
	r.Header.Set(names.RequestID, id)
	r.Header.Set(names.Key, request.key)
	r.Header.Set(names.Deadline, callerDeadlineMS)
	sent := sentRequest{gateway: request.gateway, at: time.Now(), rated: request.key == ratedKey}
	status := s.roundTrip(r, id, request.transport)
	if status == 0 && request.stay > 0 {
		status = leftEarly
	}
	sent.answered, sent.ended = status > 0, time.Now()
	s.mu.Lock()
	s.statuses[id], s.sent[id] = status, sent
	s.mu.Unlock()
	return status
}

func (s *soak) roundTrip(r *http.Request, id string, transport *http.Transport) int {
	if transport == nil {
		transport = &http.Transport{DialContext: dialWithoutTimeWait}
		defer transport.CloseIdleConnections()
	}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readStart(response.Body)
	if err != nil {
		return 0
	}
	if response.StatusCode == http.StatusOK && (string(body) != "ran "+id || response.Header.Get(platform.UpstreamHeaders().Signature) != "s-"+id) {
		s.f.t.Errorf("request %s got the response %q", id, body)
	}
	return response.StatusCode
}

// readStart reads a body to its end and returns its first bytes: a body without end would fill the
// memory of the test.
func readStart(body io.Reader) ([]byte, error) {
	start, err := io.ReadAll(io.LimitReader(body, maxKeptBody))
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, body)
	return start, err
}

// dialWithoutTimeWait opens a connection that is reset on close and leaves no TIME_WAIT entry.
// Tests that read the whole socket table stall with 20,000 closed connections in it.
func dialWithoutTimeWait(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetLinger(0)
}
