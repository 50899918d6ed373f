package main

import (
	"fmt"
	"net/http"
	"time"

	"pistachiomount.example/pistachiomount/review/third/fleet"
)

const (
	movedKey     = "key-that-moves"
	formerTenant = "parish-one"
	newTenant    = "parish-two"
)

// keyConfig is a configuration in which the key belongs to the given tenant. Neither tenant has a limit.
func keyConfig(version, base int, holder string) []byte {
	tenants := ""
	for _, name := range []string{formerTenant, newTenant} {
		keys := fmt.Sprintf("%q", "other-key-of-"+name)
		if name == holder {
			keys += fmt.Sprintf(",%q", movedKey)
		}
		tenants += fmt.Sprintf(`,{"name":%q,"apiKeys":[%s],"priority":1,"ratePerS":0,"burst":0,"allowedRegions":[]}`, name, keys)
	}
	return fleet.Config(version, base, "", tenants)
}

// movedKeyCase freezes a gateway while a configuration moves a key from one tenant to another, and checks for whom
// requests with that key run.
func movedKeyCase(r *fleet.Record, trouble bool) int {
	d, err := deploy(r, keyConfig(7, 0, formerTenant))
	if err != nil {
		r.Printf("%v", err)
		return couldNot
	}
	defer d.stop()
	sent, ok := d.changeDuringFreeze(keyConfig(9, 7, newTenant), trouble, func(gateway *fleet.VM, client *http.Client) fleet.Answer {
		return fleet.SendWithKey(client, gateway, movedKey, http.MethodPost, "/book/1", []byte("truck"), callerDeadline)
	})
	if !ok {
		return couldNot
	}
	wrong, right := 0, 0
	for _, run := range d.runsOf(sent) {
		r.Printf("request %s: ran at %s with X-Tenant-Id %s, %.1f s after version 9 was acknowledged", run.ID, run.Upstream.ID, run.Customer,
			run.At.Sub(d.acknowledged).Seconds())
		if run.Customer == newTenant {
			right++
		} else {
			wrong++
		}
	}
	r.Printf("%d requests ran for %s, which holds the key, and %d for another tenant", right, newTenant, wrong)
	return verdict(wrong, right)
}

// verdict returns the exit code of a case with a number of runs that broke the rule and of others.
func verdict(wrong, right int) int {
	switch {
	case wrong > 0:
		return broken
	case right == 0:
		return couldNot
	}
	return held
}

// callerDeadline is how long callers wait.
const callerDeadline = 5 * time.Second
