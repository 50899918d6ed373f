package main

import (
	"errors"
	"net/http"
	"time"
)

// withdrawnKeys takes the keys away from the clients: the next configuration has no tenant any more. Clients go on with
// the key that they had, and others come with keys that no configuration ever held.
func withdrawnKeys(log *record, trouble bool) (int, error) {
	s, err := startSmall(log, configuration(1, 0, 2*time.Second))
	if err != nil {
		return failed, err
	}
	defer s.stop()
	if !s.serves(log) {
		return failed, errors.New("no request is served")
	}
	if _, status := ask(log, s.entry.address(frontPort), http.MethodPost, unsafePath+"x", "never-held-0001", 2*time.Second); status != http.StatusUnauthorized {
		return failed, errors.New("an unknown key is not refused under the first configuration")
	}
	next := configuration(2, 1, 2*time.Second)
	if trouble {
		next = configurationOf(2, 1, 2*time.Second, []any{})
	}
	if !orderUntilAccepted(log, http.MethodPost, s.core, "/pistachiomount/Config.Put", next, 5*time.Second) {
		return failed, errors.New("the second configuration was not accepted")
	}
	log.add("version 2 is acknowledged")
	time.Sleep(6 * time.Second) // configApply is 2.5 s, revoke 5 s
	sent := map[string]string{}
	for range 10 {
		if trouble {
			id, _ := ask(log, s.entry.address(frontPort), http.MethodPost, unsafePath+"x", key, 2*time.Second)
			sent[id] = "with the withdrawn key"
		}
		id, _ := ask(log, s.entry.address(frontPort), http.MethodPost, unsafePath+"x", "never-held-0002", 2*time.Second)
		sent[id] = "with a key that no configuration held"
	}
	status := held
	for _, r := range s.world.all() {
		if how, found := sent[r.id]; found {
			log.add("ROUTE: %s ran %s, for tenant %q", r.id, how, r.tenant)
			status = broken
		}
	}
	return status, nil
}
