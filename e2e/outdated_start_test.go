package e2e_test

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// resumesAfterStart is how long after the start of a gateway the control daemon that it polls first goes on. The poll
	// waits that long.
	resumesAfterStart = 700 * time.Millisecond
	// startIsWatched is how long requests are sent to a gateway that starts.
	startIsWatched = 3 * time.Second
)

// firstPolled returns the control daemon that a gateway polls first.
func firstPolled(gateway string, controls int) int {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(gateway))
	return int(sum.Sum64() % uint64(controls))
}

// sendUntil sends requests with a key to gateway 1 until the given time and returns their ids.
func (p *pausedGateway) sendUntil(end time.Time, key string) (ids []string) {
	var requests sync.WaitGroup
	for time.Now().Before(end) {
		id := fmt.Sprint("started-", len(ids))
		ids = append(ids, id)
		requests.Go(func() {
			p.send(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}, http.MethodPost, "/book/1", key, id)
		})
		time.Sleep(5 * time.Millisecond)
	}
	requests.Wait()
	return ids
}

// Guards against a gateway that starts and puts the plan of a control daemon in force that has missed a change, as it was
// paused, and runs requests for the customer from whom their key was taken.
func TestStartedGatewayUsesNoOutdatedPlan(t *testing.T) {
	t.Parallel()
	tenants := func(former, next string) string {
		return fmt.Sprintf(`,"tenants":[{"name":"former","apiKeys":["former-key"%s]},{"name":"next","apiKeys":["next-key"%s]}]`, former, next)
	}
	p := newPausedGateway(t, tenants(`,"moved-key"`, ""))
	behind := p.controls[firstPolled("gateway-1", 3)]
	behind.signal(syscall.SIGSTOP)
	p.putConfigWith(2, 1, tenants("", `,"moved-key"`))
	time.Sleep(pausedFor - sentBeforeResume)
	p.gateways[1].kill()
	p.restartVM("gateway", 1)
	time.AfterFunc(resumesAfterStart, func() { behind.signal(syscall.SIGCONT) })
	served := 0
	for _, id := range p.sendUntil(time.Now().Add(startIsWatched), "moved-key") {
		customer, domain := p.customerOf(id)
		if domain == "" {
			continue
		}
		served++
		if customer != "next" {
			t.Errorf("request %s ran for %q", id, customer)
		}
	}
	if served == 0 {
		t.Error("no request ran")
	}
}

// Guards against a gateway that starts while there is no majority of control daemons, and serves by what one of them knows;
// and against one that does not serve once there is a majority.
func TestGatewayThatStartsWithoutAMajorityWaitsForIt(t *testing.T) {
	t.Parallel()
	p := newPausedGateway(t, fmt.Sprintf(`,"tenants":[{"name":"t","apiKeys":[%q]}]`, soakKey))
	for _, c := range p.controls[1:] {
		c.kill()
	}
	p.gateways[1].kill()
	p.restartVM("gateway", 1)
	for _, id := range p.sendUntil(time.Now().Add(startIsWatched), soakKey) {
		if p.runCount(id) > 0 {
			t.Errorf("request %s ran", id)
		}
	}
	for i := 1; i < len(p.controls); i++ {
		p.restartVM("control", i)
	}
	eventually(t, "requests are served", func() bool {
		return p.send(http.DefaultClient, http.MethodGet, "/look/1", soakKey, fmt.Sprint("look-", time.Now().UnixNano())) == http.StatusOK
	})
}
