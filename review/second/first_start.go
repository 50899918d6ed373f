package main

import (
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"
)

// firstStart starts the whole system for the first time. A second later a core machine is gone for good, and another
// one with an empty disk takes its place. The operator sends the first configuration until it is accepted.
func firstStart(log *record, trouble bool) (int, error) {
	d, err := newDeployment(log)
	if err != nil {
		return failed, err
	}
	defer d.stop()
	var core []*machine
	for _, z := range d.zones[:5] {
		core = append(core, d.add("control", z))
	}
	entry := d.add("gateway", "bog-a")
	d.platform = d.net + ".200:8382"
	w, err := newWorld(log, d.platform)
	if err != nil {
		return failed, err
	}
	if _, err := w.add(service, "bog-a", d.net+".100:8080", 6, 20*time.Millisecond); err != nil {
		return failed, err
	}
	if err := d.startAll(); err != nil {
		return failed, err
	}
	log.add("all machines started")
	began := time.Now()
	addresses := []string{}
	for _, m := range core {
		addresses = append(addresses, m.address(controlPort))
	}
	if trouble {
		after := 1000
		if ms, err := strconv.Atoi(os.Getenv("REVIEW_AFTER_MS")); err == nil {
			after = ms
		}
		sleepUntil(began.Add(time.Duration(after) * time.Millisecond))
		core[0].kill()
		log.add("%s is gone for good", core[0].name)
		time.Sleep(time.Second)
		spare := d.add("control", "bog-a")
		spare.bootstrap = false
		if err := d.start(spare); err != nil {
			return failed, err
		}
		log.add("%s started in its place, with an empty disk", spare.name)
		addresses = append(addresses[1:], spare.address(controlPort))
	}
	accepted := orderUntilAccepted(log, http.MethodPost, addresses, "/pistachiomount/Config.Put", configuration(1, 0, 2*time.Second), 30*time.Second)
	if !accepted {
		log.add("the first configuration was not accepted by any of five running core machines")
		for range 20 {
			if _, status := ask(log, entry.address(frontPort), http.MethodGet, safePath+"x", key, 2*time.Second); status == http.StatusOK {
				return failed, errors.New("a request is served without a configuration")
			}
			time.Sleep(100 * time.Millisecond)
		}
		log.add("Fault: no request is served")
		return broken, nil
	}
	end := time.Now().Add(10 * time.Second)
	for time.Now().Before(end) {
		if _, status := ask(log, entry.address(frontPort), http.MethodGet, safePath+"x", key, 2*time.Second); status == http.StatusOK {
			return held, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return failed, errors.New("no request is served though the configuration was accepted")
}
