package main

import (
	"errors"
	"net/http"
	"slices"
	"time"
)

const (
	// contact is the bound of the small deployments: a machine is in touch that long after the last disruption of the core.
	contact = 4 * time.Second
	// coreDown is how long the machines of the core are without power.
	coreDown = 2 * time.Second
	// beforeCore is how long before that the entry machine is lost.
	beforeCore = 1900 * time.Millisecond
	// directoryTrials is how often it happens.
	directoryTrials = 6
)

// lostEntryMachine lets an entry machine lose power for good, and two seconds later all machines of the core lose
// power for two seconds. Clients ask the directory of the other machines.
func lostEntryMachine(log *record, trouble bool) (int, error) {
	d, err := newDeployment(log)
	if err != nil {
		return failed, err
	}
	defer d.stop()
	var core, entries []*machine
	var addresses []string
	for _, z := range d.zones[:5] {
		m := d.add("control", z)
		core, addresses = append(core, m), append(addresses, m.address(controlPort))
	}
	for _, z := range []string{"bog-a", "bog-a", "bog-a", "med-a", "cal-a"} {
		entries = append(entries, d.add("gateway", z))
	}
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
	if !orderUntilAccepted(log, http.MethodPost, addresses, "/pistachiomount/Config.Put", configuration(1, 0, 2*time.Second), 20*time.Second) {
		return failed, errors.New("the first configuration was not accepted")
	}
	victim := entries[1]
	total := 0
	for range directoryTrials {
		if !waitFor(15*time.Second, func() bool { return named(entries, victim) == len(entries) }) {
			return failed, errors.New("the directory does not name all entry machines")
		}
		time.Sleep(contact) // the machines are in touch, with no disruption near
		count, err := loseEntryMachine(log, d, core, entries, victim, trouble)
		if err != nil {
			return failed, err
		}
		total += count
	}
	log.add("DRAIN: %d answers named a machine that was lost", total)
	if total > 3 {
		return broken, nil
	}
	return held, nil
}

// named returns how many of the running entry machines name a machine in their answers.
func named(entries []*machine, m *machine) int {
	count := 0
	for _, e := range entries {
		if slices.Contains(resolve(e.address(directoryPort), "bogota", "bog-a"), m.address(frontPort)) {
			count++
		}
	}
	return count
}

// loseEntryMachine plays one loss and returns how many answers name the lost machine too late, beside one that runs.
func loseEntryMachine(log *record, d *deployment, core, entries []*machine, victim *machine, trouble bool) (int, error) {
	victim.kill()
	killed := time.Now()
	log.add("%s lost power", victim.name)
	judged := killed.Add(contact + 3*time.Second)
	if trouble {
		sleepUntil(killed.Add(beforeCore))
		for _, m := range core {
			go m.kill()
		}
		for _, m := range core {
			m.kill()
		}
		log.add("all machines of the core lost power")
		time.Sleep(coreDown)
		for _, m := range core {
			if err := d.start(m); err != nil {
				return 0, err
			}
		}
		log.add("and are back")
		if inTouch := time.Now().Add(contact + 100*time.Millisecond); inTouch.After(judged) {
			judged = inTouch
		}
	}
	sleepUntil(judged)
	count := 0
	for time.Since(judged) < 3*time.Second {
		for _, e := range entries {
			names := resolve(e.address(directoryPort), "bogota", "bog-a")
			if e != victim && len(names) > 1 && slices.Contains(names, victim.address(frontPort)) {
				count++
				log.add("%s names %v, %.3f s after the loss", e.name, names, time.Since(killed).Seconds())
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return count, d.start(victim)
}
