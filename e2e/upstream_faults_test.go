package e2e_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// forwardUpstreams puts a forwarder in front of each upstream of the list.
func (in *installation) forwardUpstreams() []*forwarder {
	in.t.Helper()
	list := in.listedUpstreams()
	forwarders := make([]*forwarder, len(list))
	for i := range list {
		forwarders[i] = newForwarder(in.t, list[i].Address.String())
		list[i].Address = netip.MustParseAddrPort(forwarders[i].address())
	}
	exchangeJSON(in.t, http.MethodPut, in.platform.address("http")+"/v1/upstreams", list, nil)
	return forwarders
}

// Guards against wrong, truncated or missing responses to idempotent requests, and
// against bookings that run twice, when connections to upstreams drop data, are
// closed in the middle of responses or become slow.
func TestFaultyConnectionsToUpstreams(t *testing.T) {
	t.Parallel()
	faults := []struct {
		name  string
		apply func(f *forwarder)
	}{
		{"open connections drop all data", func(f *forwarder) { f.dropOpenConns() }},
		{"connections are closed", func(f *forwarder) { f.closeConns() }},
		{"responses are cut in the middle", func(f *forwarder) { f.setRule(nil, faultRule{closeAfter: 700}) }},
		{"requests are dropped", func(f *forwarder) { f.setRule(nil, faultRule{dropRequests: true}) }},
		{"responses are dropped", func(f *forwarder) { f.setRule(nil, faultRule{dropResponses: true}) }},
		{"responses are delayed", func(f *forwarder) { f.setRule(nil, faultRule{delay: 100 * time.Millisecond}) }},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			in := newInstallation(t, 1, 2)
			forwarders := in.forwardUpstreams()
			in.awaitServing(in.submitAccepted(documentWith(t, 1, "deadline_ms: 10000", "deadline_ms: 2500")).Revision)
			in.spreadGrants()
			l := in.startLoad(steady, nil)
			in.awaitMoreRequests("/records", 100)
			fault.apply(forwarders[0])
			bookings := make([]*booking, 40)
			for i := range bookings {
				bookings[i] = &booking{key: fmt.Sprintf("link-%d", i)}
				in.book(bookings[i], i)
			}
			in.awaitMoreRequests("/records", 300)
			summary := l.end()
			t.Logf("%d requests, statuses %v, rejections %v, failures %v", summary.Requests, summary.Statuses, summary.Rejections, summary.Failures)
			if summary.Wrong > 0 || len(summary.Failures) > 0 {
				t.Errorf("wrong %d, failures %v", summary.Wrong, summary.Failures)
			}
			if summary.OK < summary.Requests*95/100 {
				t.Errorf("%d of %d requests succeeded: %v", summary.OK, summary.Requests, summary.Rejections)
			}
			in.checkBookings(bookings)
		})
	}
}
