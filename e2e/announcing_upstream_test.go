package e2e_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

const (
	// drainBound is how long after a VM has passed on that an upstream leaves new requests may reach it.
	drainBound = 3 * time.Second
	// announceDelay is the time after a response from which a limit or a pause binds its VM.
	announceDelay = 500 * time.Millisecond
	// maxDuringPause is how many requests of a VM may reach an upstream in a pause.
	maxDuringPause = 2
	// limitWindow, limitFactor and limitSlack bound the requests that reach a limited upstream; the bound
	// applies to windows that end limitContact after it first named its limit.
	limitWindow  = 4 * time.Second
	limitContact = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
)

// announcements are what an upstream announces, and what reached it.
type announcements struct {
	mu      sync.Mutex
	leaving bool
	limit   float64 // 0 for none
	// rejectEvery rejects one request in so many with a pause, 0 for none.
	rejectEvery int
	pause       time.Duration
	arrivals    []arrival
}

// arrival is one request at an upstream.
type arrival struct {
	id string
	at time.Time
	// pause is how long the response asked for no requests; leaving and limit are what it announced.
	pause   time.Duration
	leaving bool
	limit   float64
}

// record records a request, sets the headers of its response, and reports whether it is rejected.
func (a *announcements) record(id string, header http.Header) (rejected bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := arrival{id: id, at: time.Now(), leaving: a.leaving, limit: a.limit}
	if a.leaving {
		header.Set("Server-Leaving", "1")
	}
	if a.limit > 0 {
		header.Set("Server-Limit", strconv.FormatFloat(a.limit, 'f', -1, 64))
	}
	if a.rejectEvery > 0 && len(a.arrivals)%a.rejectEvery == 0 {
		r.pause = a.pause
		header.Set("Retry-After", strconv.FormatFloat(a.pause.Seconds(), 'f', 3, 64))
	}
	a.arrivals = append(a.arrivals, r)
	return r.pause > 0
}

// set changes what the upstream announces.
func (a *announcements) set(change func(a *announcements)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(a)
}

// sentRequest is a request as its caller sent it.
type sentRequest struct {
	gateway   int
	at, ended time.Time
	answered  bool
	// rated says that it belongs to the customer with the low rate.
	rated bool
}

// announcementCheck compares what reached upstreams with what they had announced.
type announcementCheck struct {
	t    *testing.T
	sent func(id string) (sentRequest, bool)
	// disturbedSince reports whether a VM was killed, stopped or paused after a time and before another.
	disturbedSince func(gateway int, from, to time.Time) bool
}

func (c *announcementCheck) check(u *fleetUpstream) {
	u.announced.mu.Lock()
	defer u.announced.mu.Unlock()
	c.checkLeaving(u.id, u.announced.arrivals)
	c.checkPauses(u.id, u.announced.arrivals)
	c.checkLimit(u.id, u.announced.arrivals)
}

func (c *announcementCheck) checkLeaving(upstream string, arrivals []arrival) {
	told := map[int]time.Time{}
	for _, r := range arrivals {
		sent, ok := c.sent(r.id)
		if !ok {
			continue
		}
		if since, is := told[sent.gateway]; is && sent.at.Sub(since) > drainBound && !c.disturbedSince(sent.gateway, since, sent.at) {
			c.t.Errorf("%s, which leaves, got request %s, sent %v after gateway %d had passed that on", upstream, r.id, sent.at.Sub(since), sent.gateway)
		}
		if since, is := told[sent.gateway]; r.leaving && sent.answered && (!is || c.disturbedSince(sent.gateway, since, r.at)) {
			told[sent.gateway] = r.at
		}
	}
}

func (c *announcementCheck) checkPauses(upstream string, arrivals []arrival) {
	for i, rejected := range arrivals {
		sent, ok := c.sent(rejected.id)
		if !ok || rejected.pause == 0 || !sent.answered {
			continue
		}
		n := 0
		from, to := rejected.at.Add(announceDelay), rejected.at.Add(rejected.pause)
		for _, r := range arrivals[i+1:] {
			later, ok := c.sent(r.id)
			if ok && later.gateway == sent.gateway && r.at.After(from) && r.at.Before(to) {
				n++
			}
		}
		if n > maxDuringPause && !c.disturbedSince(sent.gateway, rejected.at, to) {
			c.t.Errorf("%s got %d requests of gateway %d within a pause of %v", upstream, n, sent.gateway, rejected.pause)
		}
	}
}

func (c *announcementCheck) checkLimit(upstream string, arrivals []arrival) {
	told := map[int]time.Time{}
	var counted []time.Time
	var first time.Time
	for _, r := range arrivals {
		sent, ok := c.sent(r.id)
		if !ok {
			continue
		}
		since, is := told[sent.gateway]
		if r.limit == 0 {
			counted = nil // windows that reach into a time without a limit do not count
			continue
		}
		if first.IsZero() {
			first = r.at
		}
		if !is && sent.answered {
			told[sent.gateway] = r.at
		}
		if !is || r.at.Sub(since) < announceDelay || c.disturbedSince(sent.gateway, since, r.at) {
			continue
		}
		counted = append(counted, r.at)
		for r.at.Sub(counted[0]) > limitWindow {
			counted = counted[1:]
		}
		if allowed := limitFactor*r.limit*limitWindow.Seconds() + limitSlack; float64(len(counted)) > allowed && r.at.Sub(first) >= limitContact {
			c.t.Errorf("%s got %d requests in %v at a limit of %.1f/s, allowed %.0f", upstream, len(counted), limitWindow, r.limit, allowed)
			return
		}
	}
}
