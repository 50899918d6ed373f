package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"time"
)

var voterGauge = regexp.MustCompile(`(?m)^pm_control_voter(?:\{[^}]*\})? 1$`)

// votes reports whether the core daemon of a machine says in its metrics that it votes.
func votes(m *machine) bool {
	client := &http.Client{Timeout: 300 * time.Millisecond}
	response, err := client.Get("http://" + m.address(9464) + "/metrics")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return err == nil && voterGauge.Match(raw)
}

// twoDisks lets two machines of the core lose power and their disks right after the first configuration was
// acknowledged, in a deployment that bears the loss of two. They are back a second later. The operator reads the
// configuration back.
func twoDisks(log *record, trouble bool) (int, error) {
	d, err := newDeployment(log)
	if err != nil {
		return failed, err
	}
	defer d.stop()
	d.tolerance = 2
	var core []*machine
	var addresses []string
	for _, z := range d.zones {
		m := d.add("control", z)
		core, addresses = append(core, m), append(addresses, m.address(controlPort))
	}
	d.platform = d.net + ".200:8382"
	if _, err := newWorld(log, d.platform); err != nil {
		return failed, err
	}
	if err := d.startAll(); err != nil {
		return failed, err
	}
	log.add("all machines started")
	if !orderUntilAccepted(log, http.MethodPost, addresses, "/pistachiomount/Config.Put", configuration(7, 0, 2*time.Second), 20*time.Second) {
		return failed, errors.New("the first configuration was not accepted")
	}
	log.add("version 7 is acknowledged")
	if trouble {
		if err := loseTwoDisks(log, d, core); err != nil {
			return failed, err
		}
	}
	time.Sleep(20 * time.Second) // catchUp is 4 s, recovery 15 s
	end := time.Now().Add(20 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		status, raw := order(log, http.MethodGet, addresses[i%len(addresses)], "/pistachiomount/Config.Get", nil)
		if status == http.StatusOK {
			log.add("read back: %d bytes", len(raw))
			if string(raw) != string(configuration(7, 0, 2*time.Second)) {
				log.add("what was read back is not what was acknowledged")
				return broken, nil
			}
			return held, nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	log.add("CONFIG: the acknowledged configuration was read for 20 s at all six machines of the core and did not come")
	return broken, nil
}

// loseTwoDisks ends two daemons that vote at the same moment, as a loss of power does, removes their disks and starts
// them again after a second.
func loseTwoDisks(log *record, d *deployment, core []*machine) error {
	var lost []*machine
	for _, m := range core {
		if len(lost) < 2 && votes(m) {
			lost = append(lost, m)
		}
	}
	if len(lost) < 2 {
		return fmt.Errorf("%d daemons vote", len(lost))
	}
	for _, m := range lost {
		go m.kill()
	}
	for _, m := range lost {
		m.kill()
		log.add("%s lost power and its disk", m.name)
	}
	time.Sleep(time.Second)
	for _, m := range lost {
		if err := m.wipe(); err != nil {
			return err
		}
		if err := d.start(m); err != nil {
			return err
		}
		log.add("%s is back with an empty disk", m.name)
	}
	return nil
}
