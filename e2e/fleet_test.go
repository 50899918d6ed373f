package e2e_test

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pistachiomount.example/pistachiomount/platform"
)

// Ports of the fleet. Each VM has a loopback address of its own.
const (
	fleetInternalPort  = 7510
	fleetCallerPort    = 8010
	fleetReadyPort     = 8011
	fleetOperatorPort  = 8012
	fleetDirectoryPort = 8013
)

// Customers of the fleet: one far below its rate, and one with a low rate.
const (
	soakKey       = "soak-key"
	ratedKey      = "rated-key"
	ratedCustomer = "rated"
)

var fleetDomains = []string{"z1", "z2", "z3"}

// fleet runs the system with the platform's formats for settings files, the list of
// upstreams and operator calls: gateways and control daemons that read three seed
// addresses from a settings file, and upstreams behind forwarders.
type fleet struct {
	t         *testing.T
	dir       string
	net       string // first three bytes of the VMs' addresses
	gateways  []*process
	controls  []*process
	upstreams []*fleetUpstream
	list      *httptest.Server
	memoryMB  int // of each VM, 0 for no limit
	slots     int // of each upstream
	// prepare, if set, is called before the first VM starts.
	prepare func(f *fleet)
}

// fleetUpstream is an upstream that counts how often each request ran.
type fleetUpstream struct {
	id, domain string
	server     *httptest.Server
	forwarder  *forwarder

	mu        sync.Mutex
	runCounts map[string]int // by request id
	// customers are those for whom requests ran, by request id.
	customers map[string]string
	// endless, if set, is the start of a response that has no end, and endlessPause the time between
	// its parts.
	endless      []byte
	endlessPause time.Duration
	// faulty, if set, sends one in faultyShare responses.
	faulty func(conn net.Conn, id string)
	// ratedRuns are when requests of the customer with the low rate ran.
	ratedRuns []time.Time
	announced announcements
}

func newFleet(t *testing.T, controls, gateways, upstreams int) *fleet {
	t.Helper()
	return startFleet(&fleet{t: t, slots: 8}, controls, gateways, upstreams)
}

// startFleet starts the processes of a fleet whose limits are set.
func startFleet(f *fleet, controls, gateways, upstreams int) *fleet {
	t := f.t
	t.Helper()
	f.dir, f.net = t.TempDir(), fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
	for i := range upstreams {
		f.addUpstream(i)
	}
	f.list = httptest.NewServer(http.HandlerFunc(f.serveList))
	t.Cleanup(f.list.Close)
	if f.prepare != nil {
		f.prepare(f)
	}
	for i := range controls {
		f.controls = append(f.controls, f.startVM("control", i))
	}
	for i := range gateways {
		f.gateways = append(f.gateways, f.startVM("gateway", i))
	}
	return f
}

func (f *fleet) addUpstream(i int) {
	u := &fleetUpstream{id: fmt.Sprintf("u-%d", i), domain: fleetDomains[i%len(fleetDomains)], runCounts: map[string]int{}, customers: map[string]string{}}
	u.server = httptest.NewServer(u)
	f.t.Cleanup(u.server.Close)
	u.forwarder = newForwarder(f.t, u.server.Listener.Addr().String())
	f.upstreams = append(f.upstreams, u)
}

// ServeHTTP counts a request and responds with its id.
func (u *fleetUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	names := platform.UpstreamHeaders()
	id := r.Header.Get(names.RequestID)
	if r.Header.Get(names.ExpectedUpstream) != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if u.announced.record(id, w.Header()) {
		w.Header().Set(names.RequestID, id)
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // a request with a truncated body still counts as run
	u.mu.Lock()
	u.runCounts[id]++
	u.customers[id] = r.Header.Get(names.Customer)
	endless, pause, faulty := u.endless, u.endlessPause, u.faulty
	if r.Header.Get(names.Customer) == ratedCustomer {
		u.ratedRuns = append(u.ratedRuns, time.Now())
	}
	u.mu.Unlock()
	if faulty != nil && rand.IntN(faultyShare) == 0 {
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			faulty(conn, id)
			_ = conn.Close()
		}
		return
	}
	if endless != nil {
		writeWithoutEnd(w, endless, pause)
		return
	}
	time.Sleep(time.Duration(2+rand.IntN(20)) * time.Millisecond)
	w.Header().Set(names.RequestID, id)
	w.Header().Set(names.Signature, "s-"+id)
	w.Header().Set(names.Load, "1,0,8")
	_, _ = io.WriteString(w, "ran "+id)
}

// writeWithoutEnd writes start and then bytes until the connection ends.
func writeWithoutEnd(w http.ResponseWriter, start []byte, pause time.Duration) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	more := bytes.Repeat([]byte("x"), 32<<10)
	for data := start; err == nil; data = more {
		_, err = conn.Write(data)
		time.Sleep(pause)
	}
}

func (f *fleet) serveList(w http.ResponseWriter, r *http.Request) {
	var rows []string
	for _, u := range f.upstreams {
		if domain := r.URL.Query().Get("zone"); domain == "" || domain == u.domain {
			rows = append(rows, fmt.Sprintf(`["%s","s","%s","%s",%d,"ready"]`, u.id, u.forwarder.address(), u.domain, f.slots))
		}
	}
	_, _ = fmt.Fprintf(w, `{"instances":{"columns":["id","service","address","zone","slots","state"],"rows":[%s]},"nextPageToken":null}`,
		strings.Join(rows, ","))
}

// address returns the address of a VM for a port.
func (f *fleet) address(role string, i, port int) string {
	return fmt.Sprintf("%s:%d", f.ip(role, i), port)
}

func (f *fleet) ip(role string, i int) string {
	if role == "control" {
		return fmt.Sprintf("%s.%d", f.net, 10+i)
	}
	return fmt.Sprintf("%s.%d", f.net, 50+i)
}

func (f *fleet) dataDir(control int) string {
	return filepath.Join(f.dir, fmt.Sprintf("data-%d", control))
}

func (f *fleet) settingsPath(role string, i int) string {
	return filepath.Join(f.dir, fmt.Sprintf("%s-%d.toml", role, i))
}

func (f *fleet) startVM(role string, i int) *process {
	f.t.Helper()
	f.writeSettings(role, i, true)
	name := fmt.Sprintf("%s-%d", role, i)
	return startWithEnv(f.t, []string{platform.SettingsVariable + "=" + f.settingsPath(role, i)}, name, "pistachiomount", role)
}

// restartVM starts an exited VM again, with bootstrap = false as after the first start.
func (f *fleet) restartVM(role string, i int) {
	f.t.Helper()
	f.writeSettings(role, i, false)
	if role == "control" {
		f.controls[i].launch()
		return
	}
	f.gateways[i].launch()
}

func (f *fleet) writeSettings(role string, i int, first bool) {
	f.t.Helper()
	domain := fleetDomains[i%len(fleetDomains)]
	listen := fmt.Sprintf("front = %q\nreadiness = %q\ndirectory = %q\n", f.address(role, i, fleetCallerPort),
		f.address(role, i, fleetReadyPort), f.address(role, i, fleetDirectoryPort))
	if role == "control" {
		listen = fmt.Sprintf("control = %q\n", f.address(role, i, fleetOperatorPort))
	}
	seeds := []string{}
	for c := range 3 {
		seeds = append(seeds, fmt.Sprintf("%q", f.address("control", c, fleetOperatorPort)))
	}
	text := fmt.Sprintf(`nodeName = "%s-%d"
ip = "%s"
zone = "%s"
region = "r-%s"
internalPorts = [%d,%d]
seeds = [%s]
bootstrap = %t
dataDir = "%s"
[zones]
z1 = "r-z1"
z2 = "r-z2"
z3 = "r-z3"
[limits]
memoryMb = %d
[listen]
%s[cloud]
address = "%s"
ratePerS = 50.0
`, role, i, f.ip(role, i), domain, domain, fleetInternalPort, fleetInternalPort+15, strings.Join(seeds, ","), first,
		f.dataDir(i), f.memoryMB, listen, f.list.Listener.Addr())
	if err := os.WriteFile(f.settingsPath(role, i), []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// putConfig sends a configuration with both customers to the control VMs until one acknowledges it.
func (f *fleet) putConfig(version, base int) {
	f.t.Helper()
	f.putConfigWith(version, base, fmt.Sprintf(
		`,"tenants":[{"name":"t","apiKeys":[%q],"ratePerS":2000,"burst":2000},{"name":%q,"apiKeys":[%q],"ratePerS":%d,"burst":%d}]`,
		soakKey, ratedCustomer, ratedKey, ratedPerSecond, ratedBurst))
}

// putConfigWith sends a configuration that ends with the given fields.
func (f *fleet) putConfigWith(version, base int, fields string) {
	f.t.Helper()
	f.putConfigWithRoutes(version, base, "", fields)
}

// putConfigWithRoutes sends a configuration with more routes that ends with the given fields. Each of the routes begins
// with a comma.
func (f *fleet) putConfigWithRoutes(version, base int, routes, fields string) {
	f.t.Helper()
	config := fmt.Sprintf(`{"version":%d,"baseVersion":%d,"routes":[
{"name":"look","host":"a.example","pathPrefix":"/look/","kind":"safe","timeout":"2s","targetLatency":"400ms","priority":1,"service":"s","maxAttempts":3,"cacheAffinity":true},
{"name":"book","host":"a.example","pathPrefix":"/book/","kind":"unsafe","timeout":"2s","targetLatency":"400ms","priority":0,"service":"s","maxAttempts":3},
{"name":"open","host":"a.example","pathPrefix":"/open/","kind":"safe","timeout":"2s","targetLatency":"400ms","priority":1,"service":"s","maxAttempts":3,"public":true}%s],
"services":[{"name":"s","healthPath":"/health","maxConnections":100,"warmup":"1s","warmupPerS":50}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeout":"3s","idleTimeout":"15s"}%s}`, version, base, routes, fields)
	eventually(f.t, fmt.Sprintf("version %d acknowledged", version), func() bool {
		return slices.ContainsFunc(f.operatorAddresses(), func(address string) bool {
			response, err := http.Post("http://"+address+"/pistachiomount/Config.Put", "application/json", bytes.NewReader([]byte(config)))
			if err != nil {
				return false
			}
			defer func() { _ = response.Body.Close() }()
			return response.StatusCode == http.StatusOK
		})
	})
}

// versionRetained reports whether a control VM responds with the given version. A response
// with another version fails the test.
func (f *fleet) versionRetained(version int) bool {
	retained := false
	for _, address := range f.operatorAddresses() {
		response, err := http.Get("http://" + address + "/pistachiomount/Config.Get")
		if err != nil {
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			continue
		}
		if !strings.Contains(string(body), fmt.Sprintf(`"version":%d,`, version)) {
			f.t.Errorf("%s responded with another version than %d: %.40s", address, version, body)
		}
		retained = true
	}
	return retained
}

func (f *fleet) operatorAddresses() []string {
	var addresses []string
	for i, c := range f.controls {
		if !c.ended() {
			addresses = append(addresses, f.address("control", i, fleetOperatorPort))
		}
	}
	return addresses
}

// customerOf returns the customer for whom a request ran, and the failure domain in which it did; empty if it did not run.
func (f *fleet) customerOf(id string) (customer, domain string) {
	for _, u := range f.upstreams {
		u.mu.Lock()
		if u.runCounts[id] > 0 {
			customer, domain = u.customers[id], u.domain
		}
		u.mu.Unlock()
	}
	return customer, domain
}

// runCount returns how often a request ran.
func (f *fleet) runCount(id string) (n int) {
	for _, u := range f.upstreams {
		u.mu.Lock()
		n += u.runCounts[id]
		u.mu.Unlock()
	}
	return n
}
