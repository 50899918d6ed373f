package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"
)

// otherService is the service of the second route.
const otherService = "wuno96b"

// withRoute returns the configuration with a second service and one more route to it.
func withRoute(raw []byte, host, prefix string) []byte {
	var c map[string]any
	if json.Unmarshal(raw, &c) != nil {
		return raw
	}
	routes, services := c["routes"].([]any), c["services"].([]any)
	route, other := map[string]any{}, map[string]any{}
	for name, value := range routes[1].(map[string]any) {
		route[name] = value
	}
	for name, value := range services[0].(map[string]any) {
		other[name] = value
	}
	route["name"], route["host"], route["pathPrefix"], route["service"], other["name"] = "r-9", host, prefix, otherService, otherService
	c["routes"], c["services"] = append(routes, route), append(services, other)
	raw, _ = json.Marshal(c)
	return raw
}

// sameHost sends a configuration with two routes whose hosts differ in the case of letters only, with the same prefix and
// different services.
func sameHost(log *record, trouble bool) (int, error) {
	s, err := startSmall(log, configuration(1, 0, 2*time.Second))
	if err != nil {
		return failed, err
	}
	defer s.stop()
	other, err := s.world.add(otherService, "bog-a", s.net+".101:8080", 6, 20*time.Millisecond)
	if err != nil {
		return failed, err
	}
	if !s.serves(log) {
		return failed, errors.New("no request is served")
	}
	name := "other.example"
	if trouble {
		name = strings.ToUpper(host)
	}
	next := withRoute(configuration(2, 1, 2*time.Second), name, unsafePath)
	log.add("version 2: %s", next)
	accepted := false
	for i := 0; i < 15 && !accepted; i++ {
		status, _ := order(log, http.MethodPost, s.core[i%len(s.core)], "/pistachiomount/Config.Put", next)
		accepted = status == http.StatusOK
		if status >= 400 && status < 500 {
			log.add("version 2 is refused")
			return held, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	if !accepted {
		return failed, errors.New("version 2 got no clear answer")
	}
	log.add("version 2 is acknowledged")
	time.Sleep(6 * time.Second)
	for range 40 {
		ask(log, s.entry.address(frontPort), http.MethodPost, unsafePath+"x", key, 2*time.Second)
	}
	status := held
	for _, r := range s.world.all() {
		if r.endpoint == other.id {
			log.add("ROUTE: %s, sent to host %s, ran at %s of service %s", r.id, host, r.endpoint, otherService)
			status = broken
		}
	}
	return status, nil
}
