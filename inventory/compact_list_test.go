package inventory_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/inventory"
)

func upstreams(n int) []inventory.Upstream {
	var list []inventory.Upstream
	for i := range n {
		u := inventory.Upstream{
			ID: fmt.Sprintf("i-%010x", i), Service: fmt.Sprint("service-", i%3), Region: fmt.Sprint("region-", i%9/3),
			FailureDomain: fmt.Sprint("domain-", i%9), State: inventory.Live, Slots: 6,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8080),
		}
		if i%10 == 0 {
			u.State, u.Cold = inventory.Leaving, time.Duration(i)*time.Millisecond
		}
		list = append(list, u)
	}
	return list
}

// maxListTime is the time that a whole list may take on the link of an entry VM, of linkBytes per
// second: half of the time that a renewal may take.
const (
	maxListTime = 450 * time.Millisecond
	linkBytes   = 2_000_000 / 8
)

// Guards against a list that changes on its way, and against one that takes longer on the link of an
// entry VM than a renewal may: such a VM never serves again.
func TestCompactListFitsARenewal(t *testing.T) {
	is := is.New(t)
	list := upstreams(3000)
	raw, err := inventory.EncodeCompact(list)
	is.NoErr(err)
	decoded, err := inventory.DecodeCompact(raw)
	is.NoErr(err)
	is.Equal(decoded, list)
	took := time.Duration(float64(len(raw)) / linkBytes * float64(time.Second))
	t.Logf("%d bytes, %v", len(raw), took)
	is.True(took < maxListTime)
}

// Guards against a crash by a list that names a service, location or address that is not there.
func TestInvalidCompactListIsAnError(t *testing.T) {
	address := []byte{10, 0, 0, 1, 0, 80}
	for _, u := range []*apipb.CompactUpstream{
		{Id: "a", Address: address, Service: 1}, {Id: "a", Address: address, Location: 1}, {Id: "a", Address: []byte{1}},
	} {
		raw, err := proto.Marshal(&apipb.CompactList{
			Services: []string{"s"}, Locations: []*apipb.Location{{Region: "r"}}, Upstreams: []*apipb.CompactUpstream{u},
		})
		is.New(t).NoErr(err)
		_, err = inventory.DecodeCompact(raw)
		is.New(t).True(err != nil)
	}
	_, err := inventory.DecodeCompact([]byte{0xff})
	is.New(t).True(err != nil)
}
