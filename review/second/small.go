package main

import (
	"errors"
	"net/http"
	"time"
)

// small is a running deployment of three machines of the core and one entry machine, with a sound endpoint in its zone.
type small struct {
	*deployment
	world    *world
	core     []string // the operators' addresses
	entry    *machine
	endpoint *endpoint
}

// startSmall starts a small deployment and waits until it serves the first configuration.
func startSmall(log *record, first []byte) (*small, error) {
	return startSmallWith(log, first, func(*small) {})
}

// startSmallWith does the same after a change of the deployment.
func startSmallWith(log *record, first []byte, change func(*small)) (*small, error) {
	d, err := newDeployment(log)
	if err != nil {
		return nil, err
	}
	s := &small{deployment: d}
	change(s)
	for _, z := range d.zones[:3] {
		s.core = append(s.core, d.add("control", z).address(controlPort))
	}
	s.entry = d.add("gateway", "bog-a")
	d.platform = d.net + ".200:8382"
	if s.world, err = newWorld(log, d.platform); err == nil {
		s.endpoint, err = s.world.add(service, "bog-a", d.net+".100:8080", 6, 20*time.Millisecond)
	}
	if err == nil {
		err = d.startAll()
	}
	if err == nil && !orderUntilAccepted(log, http.MethodPost, s.core, "/pistachiomount/Config.Put", first, 20*time.Second) {
		err = errors.New("the first configuration was not accepted")
	}
	if err == nil && !waitFor(15*time.Second, func() bool { return isReady(s.entry) }) {
		err = errors.New("the entry machine is not ready")
	}
	if err != nil {
		d.stop()
		return nil, err
	}
	return s, nil
}

// waitFor waits until a condition holds, and reports whether it does.
func waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// serves waits until a request is answered with success.
func (s *small) serves(log *record) bool {
	return waitFor(15*time.Second, func() bool {
		_, status := ask(log, s.entry.address(frontPort), http.MethodGet, safePath+"first", key, 2*time.Second)
		return status == http.StatusOK
	})
}
