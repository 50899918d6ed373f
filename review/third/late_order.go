package main

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"pistachiomount.example/pistachiomount/review/third/fleet"
)

const (
	evacuatedDomain = "bog-b"
	startCall       = "/pistachiomount/Evacuations.Start/" + evacuatedDomain
	endCall         = "/pistachiomount/Evacuations.End/" + evacuatedDomain
	// evacuationBound and contact are bounds of the settings.
	evacuationBound = 5 * time.Second
	contact         = 4 * time.Second
	orderTime       = 5 * time.Second
	frozenControl   = 4
	controlFreeze   = 5 * time.Second
	watchTime       = 8 * time.Second
)

// lateOrderCase freezes a control daemon that has not read an order of the operator yet. The operator gives the same
// order to another daemon, and then evacuates the failure domain again.
func lateOrderCase(r *fleet.Record, trouble bool) int {
	d, err := deploy(r, fleet.Config(7, 0, "", ""))
	if err != nil {
		r.Printf("%v", err)
		return couldNot
	}
	defer d.stop()
	stop := d.traffic()
	defer stop()
	time.Sleep(settleTime)
	if d.fleet.Order(startCall, nil, 0, orderTime) != http.StatusOK {
		return couldNot
	}
	time.Sleep(2 * time.Second)
	vm := d.fleet.Controls[frozenControl]
	link, err := fleet.NewLink(vm.OperatorAddress())
	if err != nil {
		return couldNot
	}
	began := time.Now()
	if trouble {
		r.Printf("%s freezes", vm.Name())
		link.Freeze()
		vm.Signal(syscall.SIGSTOP)
	}
	status, _, err := fleet.Call(context.Background(), http.MethodPost, "http://"+link.Address()+endCall, nil)
	r.Printf("operator: POST %s at %s: %d %v", endCall, vm.Name(), status, err)
	if status != http.StatusOK && d.fleet.Order(endCall, nil, 0, orderTime) != http.StatusOK {
		return couldNot
	}
	time.Sleep(time.Second)
	if d.fleet.Order(startCall, nil, 0, orderTime) != http.StatusOK {
		return couldNot
	}
	d.acknowledged = time.Now()
	r.Printf("%s is evacuated again; nobody takes this back", evacuatedDomain)
	time.Sleep(time.Until(began.Add(controlFreeze)))
	if trouble {
		vm.Signal(syscall.SIGCONT)
		link.Thaw()
		r.Printf("%s goes on", vm.Name())
	}
	from := time.Now().Add(contact + time.Second)
	if bound := d.acknowledged.Add(evacuationBound); from.Before(bound) {
		from = bound
	}
	time.Sleep(time.Until(from.Add(watchTime)))
	in, elsewhere := d.runsIn(evacuatedDomain, from)
	r.Printf("from %.1f s after the acknowledgement on: %d requests ran in %s, %d elsewhere", from.Sub(d.acknowledged).Seconds(), in, evacuatedDomain, elsewhere)
	return verdict(in, elsewhere)
}
