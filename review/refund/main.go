// Command refund sends more requests than a tenant may, some from clients that leave before they are answered, and
// counts how many of them run at the upstreams.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"pistachiomount.example/pistachiomount/review/harness"
)

const (
	// ratePerS and burst are the quota of the tenant.
	ratePerS, burst = 100, 100
	// quotaWindow, quotaOvershoot and quotaSlack are the bounds of the rule.
	quotaWindow                = 5 * time.Second
	quotaOvershoot, quotaSlack = 0.1, 20
	// sentPerS is how many requests the tenant sends: 4 times its quota.
	sentPerS = 400
	duration = 12 * time.Second
	// settle is how long the tenant sends nothing at first, so that its burst is full.
	settle = 4 * time.Second
	// workTime is how long an upstream works on a request.
	workTime = 360 * time.Millisecond
	// leaveAfter is when a client leaves: half of the latency objective of the route. leavingTenths is the share of
	// clients that do, in tenths, and leavingFor how long they do so.
	leaveAfter    = 200 * time.Millisecond
	leavingTenths = 3
	leavingFor    = 5 * time.Second

	exitBroken, exitFailed = 1, 2
)

// record is what was sent, answered and run.
type record struct {
	mu       sync.Mutex
	runs     []time.Time
	statuses map[string]int
	lines    []string
}

func (r *record) note(format string, values ...any) {
	r.lines = append(r.lines, fmt.Sprintf(format, values...))
}

// run works on a request at the upstream, until its client leaves.
func (r *record) run(w http.ResponseWriter, request *http.Request) {
	if strings.HasPrefix(request.URL.Path, "/read/counted") {
		r.mu.Lock()
		r.runs = append(r.runs, time.Now())
		r.mu.Unlock()
		select {
		case <-time.After(workTime):
		case <-request.Context().Done():
			return
		}
	}
	_, _ = io.WriteString(w, "answer")
}

// send sends one request and counts how it ended.
func (r *record) send(client *http.Client, address string, n int, leaves bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	if leaves {
		ctx, cancel = context.WithTimeout(context.Background(), leaveAfter)
	}
	defer cancel()
	ended := "left"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/read/counted", nil)
	if err != nil {
		return
	}
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", fmt.Sprintf("counted-%d", n))
	request.Header.Set("X-Deadline-Ms", "8000")
	request.Header.Set("X-Credential", "key-1")
	if response, err := client.Do(request); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		ended = response.Status
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses[ended]++
}

// most returns the largest number of runs in any span of the window.
func (r *record) most() int {
	best, first := 0, 0
	for i, at := range r.runs {
		for at.Sub(r.runs[first]) >= quotaWindow {
			first++
		}
		best = max(best, i-first+1)
	}
	return best
}

func main() {
	file := flag.String("record", "record.txt", "where the record is written")
	flag.Parse()
	os.Exit(play(*file, os.Getenv("TROUBLE") != "0"))
}

func play(file string, trouble bool) int {
	r := &record{statuses: map[string]int{}}
	defer func() { _ = os.WriteFile(file, []byte(strings.Join(r.lines, "\n")+"\n"), 0o600) }()
	d, err := harness.Start(harness.Configuration(ratePerS, burst), r.run)
	if d != nil {
		defer d.Stop()
	}
	if err != nil {
		r.note("cannot run: %v", err)
		return exitFailed
	}
	time.Sleep(settle)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: sentPerS}}
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / sentPerS)
	defer ticker.Stop()
	sent := 0
	for begin := time.Now(); time.Since(begin) < duration; sent++ {
		<-ticker.C
		n := sent
		leaves := trouble && time.Since(begin) < leavingFor && n%10 < leavingTenths
		wg.Go(func() { r.send(client, d.Front(n/10), n, leaves) })
	}
	wg.Wait()
	allowed := (ratePerS*quotaWindow.Seconds()+burst)*(1+quotaOvershoot) + quotaSlack
	r.note("sent: %d requests in %v", sent, duration)
	if trouble {
		r.note("in the first %v, %d in 10 clients leave after %v", leavingFor, leavingTenths, leaveAfter)
	}
	r.note("answered: %v", r.statuses)
	r.note("run: %d requests, %d within one span of %v; allowed are %.0f", len(r.runs), r.most(), quotaWindow, allowed)
	if float64(r.most()) > allowed {
		return exitBroken
	}
	return 0
}
