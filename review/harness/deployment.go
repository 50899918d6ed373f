package harness

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// internalPorts is the number of ports for the daemons' own traffic. The other ports follow them.
	internalPorts = 16

	operatorPort = internalPorts + iota - 1
	frontPort
	readinessPort
	directoryPort
	listPort
	upstreamPort
	portCount
)

// metricsPort is the port for metrics in the deploy file.
const metricsPort = 9464

// Third numbers of the addresses of each kind of process.
const (
	controlHosts = iota + 1
	gatewayHosts
	platformHosts
	upstreamHosts
)

// zones are the zones of the deployment, one in each region.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// upstreamsPerZone is how many upstreams each zone has.
const upstreamsPerZone = 3

// Deployment is a small system: a control daemon, a gateway and three upstreams in each of three zones.
type Deployment struct {
	dir           string
	network       int // second number of all addresses
	firstPort     int
	configuration string
	Upstreams     []*Upstream

	mu         sync.Mutex // protects what follows, and the states of upstreams
	daemons    []*exec.Cmd
	otherEntry string
}

// Start starts everything with a configuration of the operator, and returns once callers are served. run carries out
// the requests at the upstreams.
func Start(configuration string, run http.HandlerFunc) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &Deployment{dir: dir, configuration: configuration}
	go d.stopOnSignal()
	if d.network, d.firstPort, err = freeAddresses(); err != nil {
		return d, err
	}
	for i := range upstreamsPerZone * len(zones) {
		u := &Upstream{ID: fmt.Sprintf("i-%04d", i), address: d.address(upstreamHosts, i, upstreamPort), zone: zones[i%len(zones)], run: run}
		if err := serve(u.address, u); err != nil {
			return d, err
		}
		d.Upstreams = append(d.Upstreams, u)
	}
	if err := serve(d.address(platformHosts, 0, listPort), http.HandlerFunc(d.list)); err != nil {
		return d, err
	}
	for i := range zones {
		for _, role := range []string{"control", "gateway"} {
			if err := d.startDaemon(role, i); err != nil {
				return d, err
			}
		}
	}
	return d, d.awaitService()
}

// stopOnSignal ends the daemons when this process is told to end, as by the time limit of a script.
func (d *Deployment) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	d.Stop()
	os.Exit(exitFailed)
}

// exitFailed is the exit status of a script whose case could not run.
const exitFailed = 2

// Stop ends all daemons and removes their files.
func (d *Deployment) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.daemons {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	d.daemons = nil
	_ = os.RemoveAll(d.dir)
}

// Front is the address for callers of one of the gateways.
func (d *Deployment) Front(n int) string { return d.address(gatewayHosts, n%len(zones), frontPort) }

func (d *Deployment) address(kind, host, port int) string {
	return fmt.Sprintf("%s:%d", d.host(kind, host), d.firstPort+port)
}

func (d *Deployment) host(kind, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.network, kind, host+1)
}

// freeAddresses returns a network and the first of a range of ports in it that nobody uses.
func freeAddresses() (network, firstPort int, err error) {
	const firstPortOfAll = 21000
	for network := 77; network < 127; network++ {
		if areFree(network, firstPortOfAll) {
			return network, firstPortOfAll, nil
		}
	}
	return 0, 0, errors.New("no free addresses")
}

func areFree(network, firstPort int) bool {
	ports := []int{metricsPort}
	for port := range portCount {
		ports = append(ports, firstPort+port)
	}
	for kind := controlHosts; kind <= upstreamHosts; kind++ {
		for _, port := range ports {
			l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:%d", network, kind, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: h, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	return nil
}

// startDaemon starts one daemon with the command of the deploy file.
func (d *Deployment) startDaemon(role string, i int) error {
	name := fmt.Sprintf("%s-%d", role, i+1)
	file := filepath.Join(d.dir, name+".toml")
	if err := os.WriteFile(file, []byte(d.settings(role, name, i)), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return err
	}
	c := exec.Command("target/pistachiomount", role, "--metrics-port", strconv.Itoa(metricsPort))
	c.Env = []string{"PISTACHIOMOUNT_BOOT=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.Stdout, c.Stderr = log, log
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := c.Start(); err != nil {
		return err
	}
	d.daemons = append(d.daemons, c)
	return nil
}

func (d *Deployment) settings(role, name string, i int) string {
	hosts, class := controlHosts, "core"
	if role == "gateway" {
		hosts, class = gatewayHosts, "edge"
	}
	var seeds []string
	for s := range zones {
		seeds = append(seeds, fmt.Sprintf("%q", d.address(controlHosts, s, operatorPort)))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "nodeName = %q\nmachineClass = %q\nip = %q\nzone = %q\nregion = \"region-%d\"\n", name, class, d.host(hosts, i), zones[i], i)
	fmt.Fprintf(&b, "internalPorts = [%d,%d]\nseeds = [%s]\nbootstrap = true\n", d.firstPort, d.firstPort+internalPorts-1, strings.Join(seeds, ","))
	if role == "control" {
		fmt.Fprintf(&b, "dataDir = %q\n", filepath.Join(d.dir, "data-"+name))
	}
	b.WriteString(`bounds = ["contact=4000ms","grace=6s","retryBudgetRatio=0.2","retryWindow=10s","retryBudgetSlack=56"]` + "\n[zones]\n")
	for z, zone := range zones {
		fmt.Fprintf(&b, "%s = \"region-%d\"\n", zone, z)
	}
	fmt.Fprintf(&b, "[limits]\ncpuShare = 0.32\ncores = 1\nmemoryMb = 284\nmaxFds = 4100\n[cloud]\naddress = %q\nratePerS = 44.0\n[listen]\n", d.address(platformHosts, 0, listPort))
	if role == "control" {
		fmt.Fprintf(&b, "control = %q\n", d.address(hosts, i, operatorPort))
		return b.String()
	}
	fmt.Fprintf(&b, "front = %q\nreadiness = %q\ndirectory = %q\n", d.address(hosts, i, frontPort),
		d.address(hosts, i, readinessPort), d.address(hosts, i, directoryPort))
	return b.String()
}

// AddEntry adds an entry of another writer to the platform's list, behind the first endpoint. Its bytes are used as
// they are.
func (d *Deployment) AddEntry(raw string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.otherEntry = raw
}

// SetDraining marks an upstream as draining in the platform's list.
func (d *Deployment) SetDraining(u *Upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u.draining = true
}

// list is the platform's list of upstreams.
func (d *Deployment) list(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var rows []string
	for _, u := range d.Upstreams {
		if zone := r.URL.Query().Get("zone"); zone != "" && zone != u.zone {
			continue
		}
		state := "ready"
		if u.draining {
			state = "draining"
		}
		rows = append(rows, fmt.Sprintf(`["service",%q,%q,"v1",9,%q,"0ms",%q]`, u.address, u.zone, state, u.ID))
		if len(rows) == 1 && d.otherEntry != "" {
			rows = append(rows, d.otherEntry)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"instances":{"columns":["service","address","zone","version","slots","state","coldRemaining","id"],"rows":[%s]},"nextPageToken":null}`,
		strings.Join(rows, ","))
}

// awaitService sends the configuration until it is accepted, and requests until one is served.
func (d *Deployment) awaitService() error {
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	accepted := false
	for i := 0; ctx.Err() == nil; i++ {
		if !accepted {
			accepted = d.put(ctx, i%len(zones))
		} else if d.served(ctx, i) {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the system does not serve")
}

func (d *Deployment) put(ctx context.Context, control int) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	target := "http://" + d.address(controlHosts, control, operatorPort) + "/pistachiomount/Config.Put"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(d.configuration))
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// served reports whether each gateway serves a request.
func (d *Deployment) served(ctx context.Context, attempt int) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	for n := range zones {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Front(n)+"/read/first", nil)
		if err != nil {
			return false
		}
		r.Host = "a.example"
		r.Header.Set("X-Request-Id", fmt.Sprintf("first-%d-%d", attempt, n))
		r.Header.Set("X-Credential", "key-1")
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}
