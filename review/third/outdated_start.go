package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"

	"pistachiomount.example/pistachiomount/review/third/fleet"
)

const (
	laggingControl = 1
	// restarted gateways are half of all.
	restarted = gateways / 2
	// thawDelay is how long after the start of the gateways the control daemon goes on.
	thawDelay    = 1200 * time.Millisecond
	hammerTime   = 3 * time.Second
	hammerPause  = 4 * time.Millisecond
	restartDelay = 5100 * time.Millisecond
)

// outdatedStartCase restarts gateways while a control daemon stands still that has missed a change.
func outdatedStartCase(r *fleet.Record, trouble bool) int {
	d, err := deploy(r, keyConfig(7, 0, formerTenant))
	if err != nil {
		r.Printf("%v", err)
		return couldNot
	}
	defer d.stop()
	time.Sleep(settleTime)
	vm := d.fleet.Controls[laggingControl]
	if trouble {
		r.Printf("%s freezes", vm.Name())
		vm.Signal(syscall.SIGSTOP)
	}
	if d.fleet.Order("/pistachiomount/Config.Put", keyConfig(9, 7, newTenant), 0, 5*time.Second) != http.StatusOK {
		return couldNot
	}
	d.acknowledged = time.Now()
	time.Sleep(restartDelay)
	chosen := d.fleet.Gateways[:restarted]
	if trouble {
		r.Printf("%d gateways are killed and start again", restarted)
		for _, g := range chosen {
			g.Kill()
			if g.Launch(false) != nil {
				return couldNot
			}
		}
	}
	began := time.Now()
	var mu sync.Mutex
	var answers []fleet.Answer
	var wg sync.WaitGroup
	for _, g := range chosen {
		wg.Go(func() {
			for time.Since(began) < hammerTime {
				wg.Go(func() {
					client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
					a := fleet.SendWithKey(client, g, movedKey, http.MethodPost, "/book/1", []byte("truck"), callerDeadline)
					mu.Lock()
					defer mu.Unlock()
					answers = append(answers, a)
				})
				time.Sleep(hammerPause)
			}
		})
	}
	time.Sleep(thawDelay)
	vm.Signal(syscall.SIGCONT)
	if trouble {
		r.Printf("%s goes on", vm.Name())
	}
	wg.Wait()
	time.Sleep(time.Second)
	wrong, right := 0, 0
	for _, run := range d.runsOf(answers) {
		if run.Customer == newTenant {
			right++
			continue
		}
		wrong++
		r.Printf("request %s: ran at %s with X-Tenant-Id %s, %.3f s after version 9 was acknowledged", run.ID, run.Upstream.ID, run.Customer,
			run.At.Sub(d.acknowledged).Seconds())
	}
	r.Printf("%d requests ran for %s, which holds the key, and %d for another tenant", right, newTenant, wrong)
	return verdict(wrong, right)
}
