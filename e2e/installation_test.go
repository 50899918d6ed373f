package e2e_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"pistachiomount.example/pistachiomount/control"
	"pistachiomount.example/pistachiomount/grant"
	"pistachiomount.example/pistachiomount/lookup"
	"pistachiomount.example/pistachiomount/operator"
)

const operatorToken = "e2e-operator"

var regionNames = []string{"bogota", "medellin", "cali"}

// installationSlots limits the installations that run concurrently; each has 10 to 16 processes.
var installationSlots = make(chan struct{}, 3)

// installation is a complete system: a platform stand-in, upstreams, control and entry VMs.
type installation struct {
	t         *testing.T
	dir       string
	platform  *process
	upstreams []*process
	controls  []*process
	// controlForwarders forward connections to the control VMs, in the same order.
	controlForwarders []*forwarder
	entries           []*process
	operator          *operator.Client
}

// newInstallation starts the given number of control and entry VMs, spread over
// the regions, and two upstreams of the service records in each region. The
// flags are added to those of standin-upstream.
func newInstallation(t *testing.T, controls, entries int, upstreamFlags ...string) *installation {
	t.Helper()
	installationSlots <- struct{}{}
	t.Cleanup(func() { <-installationSlots })
	in := &installation{t: t, dir: t.TempDir(), operator: &operator.Client{Token: operatorToken}}
	in.platform = start(t, "platform", "standin-platform")
	for _, region := range regionNames {
		in.addUpstreams(region, "records", upstreamFlags...)
	}
	for i := range controls {
		in.addControl(i)
		if i == 0 {
			in.initCluster()
		}
	}
	in.awaitVoters(controls)
	for i := range entries {
		in.addEntry(i)
	}
	return in
}

// addUpstreams starts two upstreams. They accept more concurrent requests than
// the document allows, so that their records show whether its limit held.
func (in *installation) addUpstreams(region, service string, flags ...string) *process {
	in.t.Helper()
	args := append([]string{
		"--platform", in.platform.address("http"), "--count", "2", "--service", service,
		"--region", region, "--failure-domain", region + "-1", "--slots", "50", "--service-time", "2ms",
		"--secrets", "demo-key-belen,demo-key-veracruz",
	}, flags...)
	p := start(in.t, "upstreams-"+service+"-"+region, "standin-upstream", args...)
	in.upstreams = append(in.upstreams, p)
	return p
}

func (in *installation) addControl(i int) *process {
	in.t.Helper()
	digest := sha256.Sum256([]byte(operatorToken))
	platform := in.platform.address("http")
	f := newForwarder(in.t, "")
	args := []string{
		"--vm", fmt.Sprintf("control-%d", i), "--region", regionNames[i%3], "--failure-domain", regionNames[i%3] + "-1",
		"--deployment", "bancas", "--data-dir", in.dataDir(i), "--rpc-advertise", f.address(),
		"--operator-tokens", "tester:" + hex.EncodeToString(digest[:]),
		"--platform-trial", platform, "--platform-production", platform,
	}
	if peers := in.rpcAddresses(); peers != "" {
		args = append(args, "--peers", peers)
	}
	p := start(in.t, fmt.Sprintf("control-%d", i), "pm-control", args...)
	f.setTarget(p.address("rpc"))
	in.operator.Addresses = append(in.operator.Addresses, p.address("http"))
	in.controls = append(in.controls, p)
	in.controlForwarders = append(in.controlForwarders, f)
	return p
}

func (in *installation) dataDir(control int) string {
	return filepath.Join(in.dir, fmt.Sprintf("control-%d", control))
}

// restartControl starts an exited control VM again with the same settings.
func (in *installation) restartControl(i int) {
	in.t.Helper()
	in.controls[i].launch()
	in.controlForwarders[i].setTarget(in.controls[i].address("rpc"))
	in.operator.Addresses[i] = in.controls[i].address("http")
}

func (in *installation) rpcAddresses() string {
	addresses := []string{}
	for _, f := range in.controlForwarders {
		addresses = append(addresses, f.address())
	}
	return strings.Join(addresses, ",")
}

func (in *installation) initCluster() {
	in.t.Helper()
	eventually(in.t, "cluster formed", func() bool {
		_, err := in.operator.Init(in.t.Context())
		return err == nil
	})
}

func (in *installation) awaitVoters(count int) {
	in.t.Helper()
	eventually(in.t, fmt.Sprintf("%d voters", count), func() bool {
		report := in.status()
		voters := 0
		for _, m := range report.Members {
			if m.Voter {
				voters++
			}
		}
		return voters == count
	})
}

// status returns the leader's status report, or an empty report if no leader
// responds. Each control VM is asked separately, because a paused one does not respond.
func (in *installation) status() *control.StatusReport {
	for _, address := range in.operator.Addresses {
		ctx, cancel := context.WithTimeout(in.t.Context(), time.Second)
		client := &operator.Client{Addresses: []string{address}, Token: operatorToken}
		report, err := client.Status(ctx)
		cancel()
		if err == nil {
			return report
		}
	}
	return &control.StatusReport{}
}

func (in *installation) addEntry(i int, extra ...string) *process {
	in.t.Helper()
	name := fmt.Sprintf("entry-%d", i)
	args := append([]string{
		"--vm", name, "--region", regionNames[i%3], "--failure-domain", fmt.Sprintf("%s-%d", regionNames[i%3], 1+i/3%2),
		"--deployment", "bancas", "--environment", "trial", "--platform", in.platform.address("http"),
		"--controls", in.rpcAddresses(),
	}, extra...)
	p := start(in.t, name, "pm-entry", args...)
	in.entries = append(in.entries, p)
	return p
}

// documentWith returns the example document with a number and with replacements
// in pairs of old and new text.
func documentWith(t *testing.T, number int, replacements ...string) []byte {
	t.Helper()
	raw, err := os.ReadFile("../examples/bancas.yaml")
	if err != nil {
		t.Fatal(err)
	}
	replacements = append(replacements, "\nnumber: 1\n", fmt.Sprintf("\nnumber: %d\n", number))
	return []byte(strings.NewReplacer(replacements...).Replace(string(raw)))
}

// submitAccepted submits a document to trial until it is accepted.
func (in *installation) submitAccepted(raw []byte) *control.SubmitReport {
	in.t.Helper()
	var report *control.SubmitReport
	eventually(in.t, "document accepted", func() bool {
		var err error
		report, err = in.operator.Submit(in.t.Context(), "trial", raw)
		return err == nil && report.Status == "accepted"
	})
	return report
}

// awaitServing waits until every running entry VM serves at least the revision,
// completes a request and returns the others in lookups.
func (in *installation) awaitServing(revision uint64) {
	in.t.Helper()
	running := []*process{}
	for _, e := range in.entries {
		if !e.ended() {
			running = append(running, e)
		}
	}
	for _, e := range running {
		address := e.address("callers")
		eventually(in.t, e.name+" serves", func() bool {
			got := request(in.t, address, http.MethodGet, "/records/ready", "demo-key-veracruz", nil)
			return got.status == http.StatusOK && in.revisionInForce(e.name) >= revision &&
				len(lookupAddresses(in.t, address)) >= min(len(running), lookup.MaxVMs)
		})
	}
}

func (in *installation) revisionInForce(vm string) uint64 {
	for _, v := range in.status().Environments["trial"].VMs {
		if v.Name == vm {
			return v.Revision
		}
	}
	return 0
}

// awaitLeaseEnd waits until an entry VM holds no grants: the leader has not counted it as running for
// a whole lease. A new leader lists no VM that has not renewed with it, but grants of the term before
// may be in force for that long.
func (in *installation) awaitLeaseEnd(entry *process) {
	in.t.Helper()
	unlistedSince := time.Time{}
	eventually(in.t, "the lease of "+entry.name+" has ended", func() bool {
		switch {
		case !in.unlisted(entry):
			unlistedSince = time.Time{}
		case unlistedSince.IsZero():
			unlistedSince = time.Now()
		}
		return !unlistedSince.IsZero() && time.Since(unlistedSince) > grant.DefaultLease
	})
}

// unlisted reports whether the leader no longer counts an entry VM as running. Without an answer of
// a leader it is not known.
func (in *installation) unlisted(entry *process) bool {
	report := in.status()
	trial, known := report.Environments["trial"]
	if report.Leader == "" || !known {
		return false
	}
	return !slices.ContainsFunc(trial.VMs, func(v control.VMReport) bool { return v.Name == entry.name })
}

// listed reports whether the leader counts an entry VM as running.
func (in *installation) listed(entry *process) bool {
	for _, v := range in.status().Environments["trial"].VMs {
		if v.Name == entry.name {
			return true
		}
	}
	return false
}
