package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operatorTimeout is after which an operator moves on to another daemon.
const operatorTimeout = time.Second

// order sends one call to one daemon and returns its status, 0 without a response. Each call has a connection of its own.
func order(log *record, method, address, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		log.add("order %s %s to %s: no answer (%v)", method, path, address, err)
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		log.add("order %s %s to %s: answer broken off (%v)", method, path, address, err)
		return 0, nil
	}
	log.add("order %s %s to %s: %d", method, path, address, response.StatusCode)
	return response.StatusCode, answer
}

// orderUntilAccepted sends an order to the daemons in turn until one answers 200 or the time is over.
func orderUntilAccepted(log *record, method string, addresses []string, path string, body []byte, within time.Duration) bool {
	end := time.Now().Add(within)
	wait := 100 * time.Millisecond
	for i := 0; time.Now().Before(end); i++ {
		if status, _ := order(log, method, addresses[i%len(addresses)], path, body); status == http.StatusOK {
			return true
		}
		time.Sleep(wait)
		wait = min(wait*3/2, 500*time.Millisecond)
	}
	return false
}

// Names in the configuration.
const (
	host       = "ficu95.example"
	safePath   = "/lohu930/"
	unsafePath = "/pufi791/"
	openPath   = "/nacu112/"
	service    = "huvo11a"
	tenant     = "huka270"
	key        = "xd9dnn2ctnfzs989anu6"
)

// configuration returns a complete configuration with a safe and an unsafe route and one that is public.
func configuration(version, base int, timeout time.Duration) []byte {
	return configurationOf(version, base, timeout, []any{map[string]any{
		"name": tenant, "apiKeys": []string{key}, "priority": 1, "ratePerS": 400, "burst": 400, "allowedRegions": []string{},
	}})
}

// configurationOf returns the same with other tenants.
func configurationOf(version, base int, timeout time.Duration, tenants []any) []byte {
	route := func(name, prefix, kind string, public bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeout": fmt.Sprintf("%dms", timeout.Milliseconds()),
			"targetLatency": "1000ms", "priority": 1, "service": service, "maxAttempts": 2, "public": public, "cacheAffinity": false,
			"allowedRegions": []string{},
		}
	}
	raw, _ := json.Marshal(map[string]any{
		"version": version, "baseVersion": base,
		"routes":   []any{route("r-1", safePath, "safe", false), route("r-2", unsafePath, "unsafe", false), route("r-3", openPath, "safe", true)},
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConnections": 390, "protocol": "h1", "tls": false, "warmup": "3s", "warmupPerS": 9.5}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"tenants":  tenants,
	})
	return raw
}
