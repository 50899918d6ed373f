package main

import (
	"net/http"

	"pistachiomount.example/pistachiomount/review/third/fleet"
)

const (
	homeRegion = "cali"
	// homeRoute is a route with a home below the path of one without.
	homeRoute = `,{"name":"r-home","host":"a.example","pathPrefix":"/book/home/","kind":"unsafe","timeout":"5000ms","targetLatency":"400ms",` +
		`"priority":0,"service":"s","maxAttempts":2,"public":false,"cacheAffinity":false,"allowedRegions":["` + homeRegion + `"]}`
)

// addedHomeCase freezes a gateway while a configuration adds a route that may be served in one region only, and counts the
// requests of that route that reach upstreams of other regions.
func addedHomeCase(r *fleet.Record, trouble bool) int {
	tenant := `,{"name":"parish","apiKeys":["key-of-parish"],"priority":1,"ratePerS":0,"burst":0,"allowedRegions":[]}`
	d, err := deploy(r, fleet.Config(7, 0, "", tenant))
	if err != nil {
		r.Printf("%v", err)
		return couldNot
	}
	defer d.stop()
	sent, ok := d.changeDuringFreeze(fleet.Config(9, 7, homeRoute, tenant), trouble, func(gateway *fleet.VM, client *http.Client) fleet.Answer {
		return fleet.SendWithKey(client, gateway, "key-of-parish", http.MethodPost, "/book/home/1", []byte("record"), callerDeadline)
	})
	if !ok {
		return couldNot
	}
	abroad, home := 0, 0
	for _, run := range d.runsOf(sent) {
		region := fleet.Region(run.Upstream.Domain)
		r.Printf("request %s: ran at %s in %s, %.1f s after version 9 was acknowledged", run.ID, run.Upstream.ID, region, run.At.Sub(d.acknowledged).Seconds())
		if region == homeRegion {
			home++
		} else {
			abroad++
		}
	}
	r.Printf("%d requests ran in %s, their home, and %d elsewhere", home, homeRegion, abroad)
	return verdict(abroad, home)
}
