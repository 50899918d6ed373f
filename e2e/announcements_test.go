package e2e_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

// announcingCallers send about 25 requests per second each.
const announcingCallers = 8

// Guards against requests to upstreams that have said that they leave, that they pause, or how many
// requests they take, by any of the VMs; and against upstreams that stay unused after it.
func TestUpstreamsGetNoMoreThanTheyAnnounce(t *testing.T) {
	t.Parallel()
	s := newSoak(newFleet(t, 3, 4, 6))
	s.f.putConfig(1, 0)
	s.awaitServing()
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for i := range announcingCallers {
		callers.Go(func() {
			caller := newSoakCaller(s, 0, rand.New(rand.NewPCG(1, uint64(i)))) // a connection for each request, no rate
			for ctx.Err() == nil {
				caller.sendRandom(context.WithoutCancel(ctx))
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	leaving, pausing, limited := s.f.upstreams[0], s.f.upstreams[1], s.f.upstreams[2]
	time.Sleep(time.Second)
	began := time.Now()
	leaving.announced.set(func(a *announcements) { a.leaving = true })
	pausing.announced.set(func(a *announcements) { a.rejectEvery, a.pause = 5, 2500*time.Millisecond })
	limited.announced.set(func(a *announcements) { a.limit = 3 })
	time.Sleep(10 * time.Second)
	ended := time.Now()
	limited.announced.set(func(a *announcements) { a.limit = 0 })
	pausing.announced.set(func(a *announcements) { a.rejectEvery = 0 })
	eventually(t, "requests come back to the limited upstream", func() bool { return limited.announced.count(ended, time.Now()) > 40 })
	eventually(t, "requests come back to the pausing upstream", func() bool { return pausing.announced.count(ended, time.Now()) > 40 })
	cancel()
	callers.Wait()
	if n := pausing.announced.count(began.Add(4*time.Second), ended); n < 4 {
		t.Errorf("the pausing upstream got %d requests in 6 s with pauses of 2.5 s", n)
	}
	t.Logf("requests in 10 s: leaving %d, pausing %d, limited %d", leaving.announced.count(began, ended), pausing.announced.count(began, ended), limited.announced.count(began, ended))
	s.check()
	if ok := s.countUnlimited(http.StatusOK); ok*100 < 97*len(s.statuses) {
		t.Errorf("%d of %d requests succeeded", ok, len(s.statuses))
	}
}

// count returns the number of requests that arrived in a period.
func (a *announcements) count(from, to time.Time) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.arrivals {
		if r.at.After(from) && r.at.Before(to) {
			n++
		}
	}
	return n
}
