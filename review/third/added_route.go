package main

import (
	"net/http"

	"pistachiomount.example/pistachiomount/review/third/fleet"
)

// addedRoute is an unsafe route below the path of a safe one.
const addedRoute = `,{"name":"r-pay","host":"a.example","pathPrefix":"/look/pay/","kind":"unsafe","timeout":"5000ms","targetLatency":"400ms",` +
	`"priority":0,"service":"s","maxAttempts":2,"public":false,"cacheAffinity":false,"allowedRegions":[]}`

// addedRouteCase freezes a gateway while a configuration adds an unsafe route below a safe one, and counts how often
// requests of the unsafe route run while some upstreams lose answers.
func addedRouteCase(r *fleet.Record, trouble bool) int {
	tenant := `,{"name":"parish","apiKeys":["key-of-parish"],"priority":1,"ratePerS":0,"burst":0,"allowedRegions":[]}`
	d, err := deploy(r, fleet.Config(7, 0, "", tenant))
	if err != nil {
		r.Printf("%v", err)
		return couldNot
	}
	defer d.stop()
	if trouble {
		for i, u := range d.upstreams {
			if i < lostUpstreams {
				u.LoseAnswers("/look/pay/", lostShare)
			}
		}
	}
	sent, ok := d.changeDuringFreeze(fleet.Config(9, 7, addedRoute, tenant), trouble, func(gateway *fleet.VM, client *http.Client) fleet.Answer {
		return fleet.SendWithKey(client, gateway, "key-of-parish", http.MethodPost, "/look/pay/1", []byte("deposit"), callerDeadline)
	})
	if !ok {
		return couldNot
	}
	runs := map[string]int{}
	for _, run := range d.runsOf(sent) {
		runs[run.ID]++
		r.Printf("request %s: ran at %s, %.1f s after version 9 was acknowledged", run.ID, run.Upstream.ID, run.At.Sub(d.acknowledged).Seconds())
	}
	twice, once := 0, 0
	for _, n := range runs {
		if n > 1 {
			twice++
		} else {
			once++
		}
	}
	r.Printf("of %d requests that may run once at most, %d ran once and %d more often", len(sent), once, twice)
	return verdict(twice, once)
}

// lostShare is the share of runs whose answer is lost at the upstreams that lose answers, which are 7 of 12.
const (
	lostShare     = 0.4
	lostUpstreams = 7
)
