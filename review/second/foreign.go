package main

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

// foreignEntry adds an entry of another writer to the platform's list: its version is a number. It names a server of a
// service to which no route goes.
func foreignEntry(log *record, trouble bool) (int, error) {
	s, err := startSmall(log, configuration(1, 0, 2*time.Second))
	if err != nil {
		return failed, err
	}
	defer s.stop()
	if !s.serves(log) {
		return failed, errors.New("no request is served")
	}
	other, err := s.world.add("other-team", "bog-a", s.net+".101:8080", 6, 20*time.Millisecond)
	if err != nil {
		return failed, err
	}
	if trouble {
		log.add("the list has an entry with version 3 instead of a text, service %s, and the id and address of %s", service, other.id)
		s.world.addRow([]any{service, other.address, other.zone, 3, 6, "ready", "0ms", other.id})
	}
	time.Sleep(8 * time.Second)
	var wg sync.WaitGroup
	for range 12 {
		wg.Go(func() {
			for range 20 {
				ask(log, s.entry.address(frontPort), http.MethodPost, unsafePath+"x", key, 2*time.Second)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	status := held
	for _, r := range s.world.all() {
		if r.endpoint == other.id {
			log.add("ROUTE: %s ran at %s, a server of %s", r.id, r.endpoint, other.service)
			status = broken
		}
	}
	return status, nil
}
