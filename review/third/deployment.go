package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/review/third/fleet"
)

const (
	controls = 5
	// gateways are as many that one of them is a tenth, the share of machines that node_freeze stops by default.
	gateways = 10
	// upstreamsPerDomain is the number of upstreams in each failure domain.
	upstreamsPerDomain = 2
	workTime           = 20 * time.Millisecond
)

// errNotStarted is returned if the deployment does not serve in time.
const errNotStarted = errors.ConstError("the deployment did not start")

// deployment is a fleet with upstreams and a configuration in force.
type deployment struct {
	record    *fleet.Record
	fleet     *fleet.Fleet
	upstreams []*fleet.Upstream
	// acknowledged is when the latest change was acknowledged.
	acknowledged time.Time
}

// deploy starts control daemons, gateways and upstreams, and puts a configuration in force.
func deploy(r *fleet.Record, config []byte) (*deployment, error) {
	list, err := fleet.NewList()
	if err != nil {
		return nil, errors.Trace(err)
	}
	d := &deployment{record: r}
	var instances []fleet.Instance
	for i, domain := range fleet.Domains() {
		for k := range upstreamsPerDomain {
			u, err := fleet.NewUpstream(fmt.Sprintf("i-%d%d", i, k), "s", domain, workTime)
			if err != nil {
				return nil, errors.Trace(err)
			}
			d.upstreams, instances = append(d.upstreams, u), append(instances, u.Instance())
		}
	}
	list.Set(instances)
	if d.fleet, err = fleet.Start(r, list, controls, gateways); err != nil {
		return nil, errors.Trace(err)
	}
	if d.fleet.Order("/pistachiomount/Config.Put", config, 0, 30*time.Second) != http.StatusOK || !d.fleet.AwaitReady(20*time.Second) {
		d.stop()
		return nil, errors.Trace(errNotStarted)
	}
	r.Printf("%d control daemons and %d gateways serve", controls, gateways)
	return d, nil
}

func (d *deployment) stop() { d.fleet.Stop() }

// traffic sends safe requests to all gateways until it is stopped.
func (d *deployment) traffic() (stop func()) {
	const pause = 30 * time.Millisecond
	var served, others atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, g := range d.fleet.Gateways {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for ctx.Err() == nil {
				if a := fleet.Send(client, g, http.MethodGet, "/look/1", nil, callerDeadline); a.Err == nil && a.Status == http.StatusOK {
					served.Add(1)
				} else {
					others.Add(1)
				}
				time.Sleep(pause)
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
		d.record.Printf("look-ups beside: %d served, %d not", served.Load(), others.Load())
	}
}

// runsOf returns the runs of the given requests.
func (d *deployment) runsOf(answers []fleet.Answer) []fleet.Run {
	sent := map[string]bool{}
	for _, a := range answers {
		sent[a.ID] = true
	}
	var runs []fleet.Run
	for _, u := range d.upstreams {
		for _, run := range u.Runs(time.Time{}) {
			if sent[run.ID] {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// runsIn counts what upstreams of a failure domain and others ran since a time.
func (d *deployment) runsIn(domain string, since time.Time) (in, elsewhere int) {
	for _, u := range d.upstreams {
		if n := len(u.Runs(since)); u.Domain == domain {
			in += n
		} else {
			elsewhere += n
		}
	}
	return in, elsewhere
}

const (
	// frozenTime is how long a VM stands still, and changeDelay how long after its beginning the change is made: an
	// open poll ends within 1 s.
	frozenTime  = 7 * time.Second
	changeDelay = 1200 * time.Millisecond
	// requestDelay is how long after the acknowledgement requests are sent: longer than any bound on changes and keys.
	requestDelay = 5100 * time.Millisecond
	requests     = 60
	settleTime   = 4 * time.Second
)

// connect returns clients with an open connection each, on which a look-up was answered.
func connect(gateway *fleet.VM) []*http.Client {
	clients := make([]*http.Client, requests)
	var wg sync.WaitGroup
	for i := range clients {
		clients[i] = &http.Client{Transport: &http.Transport{}}
		wg.Go(func() { fleet.Send(clients[i], gateway, http.MethodGet, "/look/1", nil, callerDeadline) })
	}
	wg.Wait()
	return clients
}

// changeDuringFreeze makes a change while a gateway stands still, sends requests to that gateway once the change must be
// in force everywhere, and lets it go on. It returns the answers.
func (d *deployment) changeDuringFreeze(
	config []byte, trouble bool, send func(gateway *fleet.VM, client *http.Client) fleet.Answer,
) (answers []fleet.Answer, ok bool) {
	stop := d.traffic()
	defer stop()
	time.Sleep(settleTime)
	gateway := d.fleet.Gateways[1]
	clients := connect(gateway)
	began := time.Now()
	if trouble {
		d.record.Printf("%s freezes", gateway.Name())
		gateway.Signal(syscall.SIGSTOP)
	}
	time.Sleep(changeDelay)
	if d.fleet.Order("/pistachiomount/Config.Put", config, 0, 3*time.Second) != http.StatusOK {
		return nil, false
	}
	d.acknowledged = time.Now()
	time.Sleep(requestDelay)
	d.record.Printf("%d requests are sent to %s, %.1f s after the acknowledgement", requests, gateway.Name(), time.Since(d.acknowledged).Seconds())
	answers = make([]fleet.Answer, requests)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			answers[i] = send(gateway, clients[i])
		})
	}
	time.Sleep(time.Until(began.Add(frozenTime)))
	if trouble {
		gateway.Signal(syscall.SIGCONT)
		d.record.Printf("%s goes on", gateway.Name())
	}
	wg.Wait()
	time.Sleep(time.Second)
	for _, a := range answers {
		d.record.Printf("request %s: answered %d %v", a.ID, a.Status, a.Err)
	}
	return answers, true
}
