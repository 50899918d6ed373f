package e2e_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against an entry VM that keeps accepting keys while a partition drops its
// traffic to all control VMs, against rejections with a wrong reason, and against
// a VM that does not recover.
func TestEntryPartitionedFromControl(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	in := newInstallation(t, 3, 3)
	in.awaitServing(in.submitAccepted(documentWith(t, 1)).Revision)
	isolated := in.entries[0]
	address := isolated.address("callers")
	for _, f := range in.controlForwarders {
		f.setRule(isolated, dropAll)
	}
	in.submitAccepted(documentWith(t, 2, revokeBelenKey()...))
	awaitReason(t, address, "view_stale")
	for _, key := range []string{"demo-key-belen", "demo-key-veracruz"} {
		for range 10 {
			got := request(t, address, http.MethodGet, "/records/stale", key, nil)
			reason, run := got.reason()
			is.Equal(reason, "view_stale")
			is.Equal(run, "not_run")
		}
	}
	is.Equal(len(in.startCounts(byPath("/records/stale"))), 0)
	for _, f := range in.controlForwarders {
		f.closeConns() // connections left over from the partition
		f.setRule(isolated, faultRule{})
	}
	eventually(t, "other keys work again", func() bool {
		return request(t, address, http.MethodGet, "/records/again", "demo-key-veracruz", nil).status == http.StatusOK
	})
	got := request(t, address, http.MethodGet, "/records/revoked", "demo-key-belen", nil)
	is.Equal(got.status, http.StatusUnauthorized)
	is.Equal(len(in.startCounts(byPath("/records/revoked"))), 0)
}

// Guards against public routes that exceed the limits of upstreams while an entry VM
// is partitioned from all control VMs and holds no grants, against rejections there with
// a wrong or missing reason, and against public routes that stay unavailable afterwards.
func TestPublicRoutesKeepLimitsDuringPartition(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	in := newInstallation(t, 3, 2)
	in.awaitServing(in.submitAccepted(documentWith(t, 1)).Revision)
	isolated, other := in.entries[0], in.entries[1]
	for _, f := range in.controlForwarders {
		f.setRule(isolated, dropAll)
	}
	awaitReason(t, isolated.address("callers"), "view_stale")
	in.awaitLeaseEnd(isolated)
	for range 10 {
		got := request(t, isolated.address("callers"), http.MethodGet, "/catalogue/closed", "", nil)
		reason, run := got.reason()
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.Equal(reason, "over_capacity")
		is.Equal(run, "not_run")
		got = request(t, other.address("callers"), http.MethodGet, "/catalogue/open", "", nil)
		is.Equal(got.status, http.StatusOK) // callers find an available VM by lookup
	}
	is.Equal(len(in.startCounts(byPath("/catalogue/closed"))), 0)
	for _, f := range in.controlForwarders {
		f.closeConns() // connections left over from the partition
		f.setRule(isolated, faultRule{})
	}
	eventually(t, "public routes open again", func() bool {
		return request(t, isolated.address("callers"), http.MethodGet, "/catalogue/again", "", nil).status == http.StatusOK
	})
}

// awaitReason waits until a request with a key is rejected with the reason.
func awaitReason(t *testing.T, address, reason string) {
	t.Helper()
	eventually(t, "rejected: "+reason, func() bool {
		got, _ := request(t, address, http.MethodGet, "/records/waiting", "demo-key-veracruz", nil).reason()
		return got == reason
	})
}
