// Command unreadable takes an endpoint out of service while the platform's list holds an entry whose bytes can't be
// read, and counts the requests that reach the endpoint afterwards.
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
	// drain is the bound of the rule, counted from when the platform's list shows that an endpoint is draining.
	drain = 3 * time.Second
	// entry is what another writer left in the list: it was cut short.
	entry = `["service","127.77.4.200:9000`
	// quiet is how long the system runs with the entry, and observed how long the endpoint drains.
	quiet, observed = 3 * time.Second, 12 * time.Second
	// pause is the time between two requests.
	pause = 25 * time.Millisecond

	exitBroken, exitFailed = 1, 2
)

// arrival is a request that ran at an endpoint.
type arrival struct {
	endpoint string
	at       time.Time
}

// record is what was sent, answered and run.
type record struct {
	mu       sync.Mutex
	arrivals []arrival
	statuses map[string]int
	lines    []string
}

func (r *record) note(format string, values ...any) {
	r.lines = append(r.lines, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, values...))
}

// run answers a request at an endpoint.
func (r *record) run(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{request.Header.Get("X-Expected-Instance"), time.Now()})
	r.mu.Unlock()
	_, _ = io.WriteString(w, "answer")
}

// since returns how many requests have reached each endpoint since a time.
func (r *record) since(at time.Time) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[string]int{}
	for _, a := range r.arrivals {
		if a.at.After(at) {
			counts[a.endpoint]++
		}
	}
	return counts
}

// send sends requests one after the other for some time.
func (r *record) send(d *harness.Deployment, phase string, duration time.Duration) {
	sent := 0
	for begin := time.Now(); time.Since(begin) < duration; sent++ {
		ended := r.sendOne(d, fmt.Sprintf("%s-%d", phase, sent))
		r.statuses[ended]++
		time.Sleep(pause)
	}
	r.note("sent: %d requests, %s", sent, phase)
}

func (r *record) sendOne(d *harness.Deployment, id string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Front(0)+"/read/one", nil)
	if err != nil {
		return err.Error()
	}
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "4000")
	request.Header.Set("X-Credential", "key-1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Status
}

// busiest returns the endpoint with most requests since a time.
func (r *record) busiest(d *harness.Deployment, at time.Time) *harness.Upstream {
	counts, best := r.since(at), d.Upstreams[0]
	for _, u := range d.Upstreams {
		if counts[u.ID] > counts[best.ID] {
			best = u
		}
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
	d, err := harness.Start(harness.Configuration(500, 500), r.run)
	if d != nil {
		defer d.Stop()
	}
	if err != nil {
		r.note("cannot run: %v", err)
		return exitFailed
	}
	if trouble {
		d.AddEntry(entry)
		r.note("the list has one more entry: %s", entry)
	}
	begin := time.Now()
	r.send(d, "before", quiet)
	leaving := r.busiest(d, begin)
	d.SetDraining(leaving)
	shown := time.Now()
	r.note("run: %v; the list shows that %s is draining", r.since(begin), leaving.ID)
	r.send(d, "while it drains", observed)
	late := r.since(shown.Add(drain))
	r.note("answered: %v", r.statuses)
	r.note("run later than %v after that: %v, at %s %d", drain, late, leaving.ID, late[leaving.ID])
	if late[leaving.ID] > 0 {
		return exitBroken
	}
	return 0
}
