package lookup

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/membership"
)

// TTL is how long a caller may cache an answer.
const TTL = membership.LookupTTL

// maxNearestVMs is how many VMs of the nearest region an answer holds if the other
// regions have VMs to fill it.
const maxNearestVMs = MaxVMs - 1

// ErrUnknownHome is returned if the home region is not among the regions.
const ErrUnknownHome = errors.ConstError("unknown home region")

// snapshot is the immutable state that lookups read.
type snapshot struct {
	tables map[string]*table
	// tablesByCaller holds, for each caller region, the tables of the regions with
	// serving VMs, nearest first.
	tablesByCaller map[string][]*table
}

// Ranker ranks entry VMs. Its methods are safe for concurrent use.
type Ranker struct {
	home    string
	regions []Region

	mu      sync.Mutex // serializes updates
	current atomic.Pointer[snapshot]
}

// New returns a Ranker without VMs. Callers of an unknown region are treated as
// callers of the home region, that is, the region of the VM that answers.
func New(home string, regions []Region) (*Ranker, error) {
	if !slices.ContainsFunc(regions, func(r Region) bool { return r.Name == home }) {
		return nil, errors.Annotatef(ErrUnknownHome, "%q", home)
	}
	r := &Ranker{home: home, regions: slices.Clone(regions)}
	r.current.Store(&snapshot{})
	return r, nil
}

// Update replaces the fleet list. Only VMs in state serving are ranked. The ranker
// keeps the pointers; the VMs must not be modified afterwards.
func (r *Ranker) Update(fleet []*apipb.Vm) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.current.Load()
	serving := make(map[string][]*apipb.Vm)
	for _, vm := range fleet {
		if vm.GetState() == apipb.VmState_VM_STATE_SERVING {
			serving[vm.GetRegion()] = append(serving[vm.GetRegion()], vm)
		}
	}
	next := &snapshot{tables: make(map[string]*table), tablesByCaller: make(map[string][]*table)}
	for name, vms := range serving {
		next.tables[name] = newTable(vms, old.tables[name])
	}
	for i, region := range r.regions {
		for _, name := range regionsByDistance(r.regions, i) {
			if t := next.tables[name]; t != nil {
				next.tablesByCaller[region.Name] = append(next.tablesByCaller[region.Name], t)
			}
		}
	}
	r.current.Store(next)
}

// Rank appends to dst up to MaxVMs VMs for a caller of the region, in order of
// preference. It allocates only if the capacity of dst is too small.
func (r *Ranker) Rank(dst []*apipb.Vm, region string, key uint64) []*apipb.Vm {
	s := r.current.Load()
	tables, ok := s.tablesByCaller[region]
	if !ok {
		tables = s.tablesByCaller[r.home]
	}
	if len(tables) == 0 {
		return dst
	}
	limit := len(dst) + MaxVMs
	dst = tables[0].appendTo(dst, key, 0, maxNearestVMs)
	for _, t := range tables[1:] {
		dst = t.appendTo(dst, key, 0, limit-len(dst))
		if len(dst) == limit {
			return dst
		}
	}
	// The other regions have too few VMs: fill up from the nearest one.
	return tables[0].appendTo(dst, key, maxNearestVMs, maxNearestVMs+limit-len(dst))
}
