package standin_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus/hooks/test"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/inventory"
	"pistachiomount.example/pistachiomount/settings"
	"pistachiomount.example/pistachiomount/standin"
)

func listedUpstream(id string) inventory.Upstream {
	return inventory.Upstream{
		ID: id, Service: "records", Address: netip.MustParseAddrPort("127.0.0.1:9000"),
		Region: "bogota", FailureDomain: "a", State: inventory.Live,
	}
}

func do(handler http.Handler, method, target, body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(method, target, strings.NewReader(body)))
	return recorder
}

// Guards against changes that are published before the configured lag has passed.
func TestPlatformChangesBecomeVisibleAfterLag(t *testing.T) {
	is := is.New(t)
	c := &clock.Manual{}
	p, err := standin.NewPlatform(c, standin.Lists{Upstreams: []inventory.Upstream{listedUpstream("u-1")}}, standin.PlatformOptions{LagMS: 5000})
	is.NoErr(err)
	is.Equal(do(p, "PATCH", "/v1/upstreams/u-1", `{"state":"leaving"}`).Code, 204)
	c.Advance(4 * time.Second)
	is.Equal(p.Lists().Upstreams[0].State, inventory.Live)
	is.Equal(do(p, "POST", "/v1/upstreams", `{"id":"u-2","service":"records","address":"127.0.0.1:9001","region":"bogota","failure_domain":"a","state":"live"}`).Code, 204)
	c.Advance(time.Second)
	is.Equal(len(p.Lists().Upstreams), 1)
	is.Equal(p.Lists().Upstreams[0].State, inventory.Leaving)
	c.Advance(4 * time.Second)
	is.Equal(len(p.Lists().Upstreams), 2)
	is.Equal(p.Lists().Upstreams[0].State, inventory.Leaving)
}

func TestPlatformRejectsInvalidChanges(t *testing.T) {
	is := is.New(t)
	p, err := standin.NewPlatform(&clock.Manual{}, standin.Lists{Upstreams: []inventory.Upstream{listedUpstream("u-1")}}, standin.PlatformOptions{})
	is.NoErr(err)
	is.Equal(do(p, "PATCH", "/v1/upstreams/u-9", `{"state":"leaving"}`).Code, 404)
	is.Equal(do(p, "PATCH", "/v1/upstreams/u-1", `{"state":"gone"}`).Code, 400)
	is.Equal(do(p, "PUT", "/v1/vms", `[{"name":"vm-1"}]`).Code, 400)
	is.Equal(do(p, "PUT", "/standin", `{"lag":1}`).Code, 400)
	is.Equal(p.Lists().Upstreams[0].State, inventory.Live)
	is.Equal(do(p, "PUT", "/v1/upstreams", `[]`).Code, 204)
	is.Equal(strings.TrimSpace(do(p, "GET", "/v1/upstreams", "").Body.String()), "[]")
}

// Guards against lists that the inventory client cannot read.
func TestClientReadsPlatform(t *testing.T) {
	is := is.New(t)
	p, err := standin.NewPlatform(&clock.Manual{}, standin.Lists{Upstreams: []inventory.Upstream{listedUpstream("u-1")}}, standin.PlatformOptions{})
	is.NoErr(err)
	server := httptest.NewServer(p)
	defer server.Close()
	logger, _ := test.NewNullLogger()
	client := inventory.NewClient(inventory.ClientConfig{
		Address: settings.Address{AddrPort: netip.MustParseAddrPort(server.Listener.Addr().String())},
		Clock:   &clock.Manual{}, Logger: logger,
	})
	defer client.Close()
	list, err := client.FetchUpstreams(context.Background())
	is.NoErr(err)
	is.Equal(list.Entries, []inventory.Upstream{listedUpstream("u-1")})
	is.Equal(do(p, "PUT", "/standin", `{"failing":true}`).Code, 204)
	_, err = client.FetchUpstreams(context.Background())
	is.True(err != nil)
}
