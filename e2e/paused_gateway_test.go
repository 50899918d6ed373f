package e2e_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pistachiomount.example/pistachiomount/platform"
)

const (
	// pollEnds is the time after which a paused gateway has no open poll, which would bring it the change.
	pollEnds = 1200 * time.Millisecond
	// pausedFor is how long a gateway is paused: all leases and the time for changes to come into force have passed.
	pausedFor = 6 * time.Second
	// sentBeforeResume is how long before the end of the pause requests are sent.
	sentBeforeResume = time.Second
	pausedRequests   = 40
)

// pausedGateway is a fleet whose gateway 1 is paused while the configuration changes.
type pausedGateway struct {
	*fleet
	clients []*http.Client
}

func newPausedGateway(t *testing.T, tenants string) *pausedGateway {
	p := &pausedGateway{fleet: startFleet(&fleet{t: t, slots: pausedRequests}, 3, 3, 6)}
	p.putConfigWith(1, 0, tenants)
	for i := range pausedRequests {
		p.clients = append(p.clients, &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second})
		client := p.clients[i]
		eventually(t, "an open connection", func() bool {
			return p.send(client, http.MethodGet, "/open/1", "", fmt.Sprint("open-", i)) == http.StatusOK
		})
	}
	return p
}

// send sends a request to the gateway and returns the status; 0 if there is no response.
func (p *pausedGateway) send(client *http.Client, method, path, key, id string) int {
	request, err := http.NewRequest(method, "http://"+p.address("gateway", 1, fleetCallerPort)+path, strings.NewReader("body"))
	if err != nil {
		p.t.Error(err)
		return 0
	}
	names := platform.CallerHeaders()
	request.Host = "a.example"
	request.Header.Set(names.RequestID, id)
	request.Header.Set(names.Key, key)
	request.Header.Set(names.Deadline, "5000")
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// changeDuringPause pauses the gateway, makes the change, sends requests a second before the pause ends, and returns the
// statuses by request id. Half of the requests use open connections, the others new ones.
func (p *pausedGateway) changeDuringPause(change func(), method, path, key string) map[string]int {
	p.t.Helper()
	began := time.Now()
	p.gateways[1].signal(syscall.SIGSTOP)
	time.Sleep(pollEnds)
	change()
	time.Sleep(time.Until(began.Add(pausedFor - sentBeforeResume)))
	statuses := map[string]int{}
	var mu sync.Mutex
	var requests sync.WaitGroup
	for i, client := range p.clients {
		if i%2 == 0 {
			client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
		}
		requests.Go(func() {
			id := fmt.Sprint("paused-", i)
			status := p.send(client, method, path, key, id)
			mu.Lock()
			defer mu.Unlock()
			statuses[id] = status
		})
	}
	time.Sleep(time.Until(began.Add(pausedFor)))
	p.gateways[1].signal(syscall.SIGCONT)
	requests.Wait()
	return statuses
}

// checkServed fails the test if less than nine in ten of the requests were served: they waited for the end of the pause and
// had seconds left after it.
func (p *pausedGateway) checkServed(statuses map[string]int) {
	p.t.Helper()
	counts := map[int]int{}
	for _, status := range statuses {
		counts[status]++
	}
	if counts[http.StatusOK] < len(statuses)*9/10 {
		p.t.Errorf("responses by status: %v", counts)
	}
}

// Guards against a request that runs twice since a gateway that was paused takes it for one of the idempotent route from
// which its own was split off meanwhile.
func TestPausedGatewayRepeatsNoRequestOfANewRoute(t *testing.T) {
	t.Parallel()
	tenants := fmt.Sprintf(`,"tenants":[{"name":"t","apiKeys":[%q]}]`, soakKey)
	p := newPausedGateway(t, tenants)
	for _, u := range p.upstreams {
		u.setFaulty(func(net.Conn, string) {}) // the response is lost
	}
	pay := `,{"name":"pay","host":"a.example","pathPrefix":"/look/pay/","kind":"unsafe","timeout":"4s","targetLatency":"400ms","priority":0,"service":"s","maxAttempts":3}`
	statuses := p.changeDuringPause(func() { p.putConfigWithRoutes(2, 1, pay, tenants) }, http.MethodPost, "/look/pay/1", soakKey)
	runs := 0
	for id := range statuses {
		n := p.runCount(id)
		runs += n
		if n > 1 {
			t.Errorf("request %s ran %d times", id, n)
		}
	}
	if runs < pausedRequests*9/10 {
		t.Errorf("%d of %d requests ran", runs, pausedRequests)
	}
}

// Guards against a request that runs for the customer from whom its key was taken while the gateway was paused. Customers
// with a rate are no exception: other VMs lend tokens of it.
func TestPausedGatewayServesTheHolderOfAMovedKey(t *testing.T) {
	for name, rate := range map[string]string{"without rate": "", "with a rate": `,"ratePerS":2000,"burst":2000`} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tenants := func(former, next string) string {
				return fmt.Sprintf(`,"tenants":[{"name":"former","apiKeys":["former-key"%s]%s},{"name":"next","apiKeys":["next-key"%s]%s}]`, former, rate, next, rate)
			}
			p := newPausedGateway(t, tenants(`,"moved-key"`, ""))
			statuses := p.changeDuringPause(func() { p.putConfigWith(2, 1, tenants("", `,"moved-key"`)) }, http.MethodPost, "/book/1", "moved-key")
			for id := range statuses {
				if customer, domain := p.customerOf(id); domain != "" && customer != "next" {
					t.Errorf("request %s ran for %q", id, customer)
				}
			}
			p.checkServed(statuses)
		})
	}
}

// Guards against requests that run without the rate that their customer has got while the gateway was paused.
func TestPausedGatewayKeepsANewRate(t *testing.T) {
	t.Parallel()
	const rate, burst = 5, 5
	tenants := func(limit string) string {
		return fmt.Sprintf(`,"tenants":[{"name":"t","apiKeys":[%q]%s}]`, soakKey, limit)
	}
	p := newPausedGateway(t, tenants(""))
	began := time.Now()
	change := func() { p.putConfigWith(2, 1, tenants(fmt.Sprintf(`,"ratePerS":%d,"burst":%d`, rate, burst))) }
	statuses := p.changeDuringPause(change, http.MethodPost, "/book/1", soakKey)
	runs, resumed := 0, began.Add(pausedFor)
	for id := range statuses {
		runs += p.runCount(id)
	}
	if allowed := burst + rate*(1+int(time.Since(resumed).Seconds())); runs > allowed {
		t.Errorf("%d requests ran, %d allowed", runs, allowed)
	}
}

// Guards against a request that runs outside of the region to which its route was bound while the gateway was paused.
func TestPausedGatewayKeepsRequestsInTheirHome(t *testing.T) {
	t.Parallel()
	tenants := fmt.Sprintf(`,"tenants":[{"name":"t","apiKeys":[%q]}]`, soakKey)
	p := newPausedGateway(t, tenants)
	home := `,{"name":"home","host":"a.example","pathPrefix":"/book/home/","kind":"unsafe","timeout":"4s","targetLatency":"400ms","priority":0,"service":"s","maxAttempts":3,"allowedRegions":["r-z3"]}`
	statuses := p.changeDuringPause(func() { p.putConfigWithRoutes(2, 1, home, tenants) }, http.MethodPost, "/book/home/1", soakKey)
	for id := range statuses {
		if _, domain := p.customerOf(id); domain != "" && domain != "z3" {
			t.Errorf("request %s ran in %s", id, domain)
		}
	}
	p.checkServed(statuses)
}

// Guards against a gateway that is cut off but runs, and refuses requests that its view allows.
func TestGatewayThatIsCutOffGoesOn(t *testing.T) {
	t.Parallel()
	p := newPausedGateway(t, fmt.Sprintf(`,"tenants":[{"name":"t","apiKeys":[%q]}]`, soakKey))
	for _, c := range p.controls {
		c.kill()
	}
	for began, n := time.Now(), 0; time.Since(began) < 2*pausedFor; n++ {
		if status := p.send(p.clients[0], http.MethodGet, "/look/1", soakKey, fmt.Sprint("cut-off-", n)); status != http.StatusOK {
			t.Fatalf("status %d, %v after the control daemons were lost", status, time.Since(began))
		}
		time.Sleep(20 * time.Millisecond)
	}
}
