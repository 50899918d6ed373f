package entry

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/lookup"
)

// lookups ranks entry VMs by the newest document and fleet list.
type lookups struct {
	home string

	mu       sync.Mutex // serializes changes
	fleet    []*apipb.Vm
	excluded string // VM that is left out of all answers
	ranker   atomic.Pointer[lookup.Ranker]
}

func newLookups(home string) *lookups { return &lookups{home: home} }

// setRegions applies the regions of a document.
func (l *lookups) setRegions(doc *document.Document, home string) {
	regions := make([]lookup.Region, 0, len(doc.Regions))
	for _, r := range doc.Regions {
		regions = append(regions, lookup.Region{Name: r.Name})
	}
	ranker, err := lookup.New(home, regions)
	if err != nil {
		return // the document lacks this VM's region: keep the previous ranker
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	ranker.Update(l.fleet)
	l.ranker.Store(ranker)
}

// setFleet replaces the fleet list.
func (l *lookups) setFleet(_ uint64, fleet []*apipb.Vm) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet = fleet
	l.updateRanker()
}

// exclude removes a VM from all answers from now on, whatever the fleet list says.
func (l *lookups) exclude(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.excluded = vm
	l.updateRanker()
}

// updateRanker passes the fleet to the ranker. The caller holds l.mu.
func (l *lookups) updateRanker() {
	if l.excluded != "" {
		l.fleet = slices.DeleteFunc(slices.Clone(l.fleet), func(vm *apipb.Vm) bool { return vm.GetName() == l.excluded })
	}
	if ranker := l.ranker.Load(); ranker != nil {
		ranker.Update(l.fleet)
	}
}

// rank returns the VMs for a caller, the preferred one first.
func (l *lookups) rank(region string, caller netip.AddrPort) []*apipb.Vm {
	ranker := l.ranker.Load()
	if ranker == nil {
		return nil
	}
	var buf [lookup.MaxVMs]*apipb.Vm
	return ranker.Rank(buf[:0], region, lookup.Key(caller))
}

// serveLookup returns the entry VMs that a caller should use.
func (d *Daemon) serveLookup(w http.ResponseWriter, r *http.Request) {
	d.knowledge.awaitLists(r.Context())
	if d.lifecycle.State() != apipb.VmState_VM_STATE_STARTING && d.Await(r.Context(), time.Now().Add(maxResumeTime)).Outdated {
		writeLookupError(w, http.StatusServiceUnavailable, "view_stale", "the document in force is not known")
		return
	}
	v := d.syncer.load()
	if v.revision == 0 {
		writeLookupError(w, http.StatusServiceUnavailable, "view_stale", "no document is known yet")
		return
	}
	name := r.URL.Query().Get("service")
	if name != "" && v.index.Service(name) == nil {
		writeLookupError(w, http.StatusNotFound, "route_unknown", "no such service")
		return
	}
	caller, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		writeLookupError(w, http.StatusBadRequest, "bad_request", "the caller's address is not usable")
		return
	}
	region := d.cfg.Region
	if v.blocks != nil {
		if site, ok := v.blocks.Lookup(caller.Addr()); ok {
			region = site.Region
		}
	}
	ranked := d.lookups.rank(region, caller)
	if len(ranked) == 0 {
		writeLookupError(w, http.StatusServiceUnavailable, "view_stale", "the list of entry VMs is not known yet")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(lookup.NewResponse(ranked)) // fails only if the caller has disconnected
}

func writeLookupError(w http.ResponseWriter, status int, reason, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Run", "not_run")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]any{
		"reason": reason, "run": "not_run", "retry_after_ms": retryDelay.Milliseconds(), "message": message,
	}})
}
