package lookup

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/membership"
)

// TTL is how long a caller may use an answer.
const TTL = membership.LookupTTL

// maxNearestVMs is how many VMs of the maxNearestVMs region an answer holds while another
// region has any.
const maxNearestVMs = MaxVMs - 1

// ErrUnknownHome is returned when the home region is not among the regions.
const ErrUnknownHome = errors.ConstError("unknown home region")

// snapshot is what look-ups read.
type snapshot struct {
	tables map[string]*table
	// tablesByCaller lists the tables by caller region, nearest first, empty ones left out.
	tablesByCaller map[string][]*table
}

// Ranker ranks entry VMs. Rank is safe for concurrent use with itself and with
// Update.
type Ranker struct {
	home    string
	regions []Region

	mu      sync.Mutex // serialises updates
	current atomic.Pointer[snapshot]
}

// New returns a Ranker without VMs. Callers of unknown region are treated as
// callers of the home region, which is that of the VM they asked.
func New(home string, regions []Region) (*Ranker, error) {
	if !slices.ContainsFunc(regions, func(r Region) bool { return r.Name == home }) {
		return nil, errors.Annotatef(ErrUnknownHome, "%q", home)
	}
	r := &Ranker{home: home, regions: slices.Clone(regions)}
	r.current.Store(&snapshot{})
	return r, nil
}

// Update takes over the fleet list. Only VMs that are serving are ranked. The VMs
// are referred to and must not be changed afterwards.
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

// Rank appends up to Size VMs for a caller of the region to dst, in order of
// preference. It allocates only if dst is too small.
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
	// No other region has enough VMs.
	return tables[0].appendTo(dst, key, maxNearestVMs, maxNearestVMs+limit-len(dst))
}
