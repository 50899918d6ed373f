package membership

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

const (
	// LeaseDuration is how long a VM stays in the list after its last heartbeat.
	LeaseDuration = 3 * time.Second
	// LeaseMargin is added by the leader to allow for 2% drift between its clock and
	// the VM's, so that the lease ends at the VM first.
	LeaseMargin = LeaseDuration / 50
	// incarnationRetention is how long the incarnation of a removed VM is kept to reject
	// stale heartbeats. It must outlive messages in transit.
	incarnationRetention = 24 * time.Hour
	// loadSteps is the number of load levels; only a change of level creates a new
	// version. A finer resolution would send the list to every VM at every heartbeat.
	loadSteps = 8
)

// member is the leader's record of one VM.
type member struct {
	vm        *apipb.Vm
	renewedAt clock.Instant
	present   bool
	published published
	// changedVersion is the version of the list that contained the last change.
	changedVersion uint64
}

// published holds the fields of a VM whose change creates a new version of the list.
type published struct {
	incarnation uint64
	address     string
	rpcAddress  string
	region      string
	domain      string
	state       apipb.VmState
	load        int
}

// Fleet is the control leader's list of entry VMs. It is safe for concurrent use.
type Fleet struct {
	clock     clock.Clock
	startedAt clock.Instant

	mu      sync.Mutex
	version uint64
	members map[string]*member
	leaving map[string]bool // marked as leaving in the platform's list
	list    []*apipb.Vm     // cached for version, nil when outdated
	// prunedVersion is the version of the newest change that Changes can no longer report.
	prunedVersion uint64
}

// NewFleet returns an empty list for the leader of the given term. Versions of a
// later term are higher, so a VM that follows a new leader fetches the new list.
func NewFleet(term uint64, c clock.Clock) *Fleet {
	return &Fleet{
		clock:     c,
		startedAt: c.Now(),
		version:   term << 32,
		members:   make(map[string]*member),
		leaving:   make(map[string]bool),
	}
}

// Heartbeat records the state that a VM reports about itself. A higher incarnation
// replaces a lower one; a lower one is rejected with ErrStaleIncarnation.
func (f *Fleet) Heartbeat(vm *apipb.Vm) error {
	if vm.GetName() == "" || vm.GetIncarnation() == 0 || !validState(vm.GetState()) {
		return errors.Annotatef(ErrInvalidVM, "%q incarnation %d state %v", vm.GetName(), vm.GetIncarnation(), vm.GetState())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[vm.GetName()]
	if m == nil {
		m = &member{}
		f.members[vm.GetName()] = m
	}
	if m.vm != nil && vm.GetIncarnation() < m.vm.GetIncarnation() {
		return errors.Annotatef(ErrStaleIncarnation, "%s: %d, known %d", vm.GetName(), vm.GetIncarnation(), m.vm.GetIncarnation())
	}
	f.applyHeartbeat(m, vm)
	return nil
}

func (f *Fleet) applyHeartbeat(m *member, vm *apipb.Vm) {
	next := proto.CloneOf(vm)
	if m.vm != nil && m.vm.GetIncarnation() == next.GetIncarnation() && stateRank(m.vm.GetState()) > stateRank(next.GetState()) {
		next.State = m.vm.GetState()
	}
	m.vm = next
	m.renewedAt = f.clock.Now()
	m.present = next.GetState() != apipb.VmState_VM_STATE_STOPPED
	f.updateVersion(m)
}

// updateVersion creates a new version if a published field of the VM has changed.
func (f *Fleet) updateVersion(m *member) {
	now := published{}
	if m.present {
		now = published{
			incarnation: m.vm.GetIncarnation(), address: m.vm.GetAddress(), rpcAddress: m.vm.GetRpcAddress(), region: m.vm.GetRegion(),
			domain: m.vm.GetFailureDomain(), state: f.effectiveState(m.vm), load: int(m.vm.GetLoad() * loadSteps),
		}
	}
	if now != m.published {
		m.published = now
		f.version++
		m.changedVersion = f.version
		f.list = nil
	}
}

// effectiveState returns the state of a VM, or leaving if the platform's list says
// so earlier than the VM.
func (f *Fleet) effectiveState(vm *apipb.Vm) apipb.VmState {
	if f.leaving[vm.GetName()] && stateRank(vm.GetState()) < stateRank(apipb.VmState_VM_STATE_LEAVING) {
		return apipb.VmState_VM_STATE_LEAVING
	}
	return vm.GetState()
}

// SetPlatformList applies the platform's list. VMs that it marks as leaving are
// treated as leaving. A VM that is missing in it stays as long as it sends heartbeats.
func (f *Fleet) SetPlatformList(list []PlatformVM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.leaving)
	for _, vm := range list {
		if vm.Leaving {
			f.leaving[vm.Name] = true
		}
	}
	for _, m := range f.members {
		f.updateVersion(m)
	}
}

// Expire removes VMs whose lease has expired and returns their names, sorted.
func (f *Fleet) Expire() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	var expired []string
	for name, m := range f.members {
		age := now.ElapsedSince(m.renewedAt)
		if m.present && age >= LeaseDuration+LeaseMargin {
			m.present = false
			f.updateVersion(m)
			expired = append(expired, name)
		}
		if !m.present && age >= incarnationRetention {
			delete(f.members, name)
			f.prunedVersion = max(f.prunedVersion, m.changedVersion)
		}
	}
	slices.Sort(expired)
	return expired
}

// Complete reports whether every VM has had time to send a heartbeat to this
// leader. Until then the list must not replace that of an earlier leader.
func (f *Fleet) Complete() bool {
	return f.clock.Now().ElapsedSince(f.startedAt) >= LeaseDuration+LeaseMargin
}

// Version returns the version of the list.
func (f *Fleet) Version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// List returns the VMs sorted by name, and the version. Leaving VMs are included
// with their state. The result is shared and must not be modified.
func (f *Fleet) List() ([]*apipb.Vm, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.list == nil {
		f.list = make([]*apipb.Vm, 0, len(f.members))
		for _, name := range slices.Sorted(maps.Keys(f.members)) {
			if m := f.members[name]; m.present {
				f.list = append(f.list, f.withEffectiveState(m.vm))
			}
		}
	}
	return f.list, f.version
}

// Heartbeats returns the latest heartbeat of each VM, sorted by name. Unlike
// List it is not cached, because revisions and ages change without a new version.
func (f *Fleet) Heartbeats() []*apipb.Vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*apipb.Vm
	for _, name := range slices.Sorted(maps.Keys(f.members)) {
		if m := f.members[name]; m.present {
			out = append(out, f.withEffectiveState(m.vm))
		}
	}
	return out
}

// Changes returns the VMs that changed since the caller's version, sorted by
// name; removed VMs have state STOPPED. ok is false if the version is from
// another leader or too old; the caller then needs the full list.
func (f *Fleet) Changes(have uint64) (vms []*apipb.Vm, version uint64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if have>>32 != f.version>>32 || have > f.version || have < f.prunedVersion {
		return nil, f.version, false
	}
	if have == f.version {
		return nil, f.version, true // most heartbeats: no need to look at all VMs
	}
	for _, name := range slices.Sorted(maps.Keys(f.members)) {
		m := f.members[name]
		if m.changedVersion <= have {
			continue
		}
		vm := &apipb.Vm{Name: name, Incarnation: m.vm.GetIncarnation(), State: apipb.VmState_VM_STATE_STOPPED}
		if m.present {
			vm = f.withEffectiveState(m.vm)
		}
		vms = append(vms, vm)
	}
	return vms, f.version, true
}

func (f *Fleet) withEffectiveState(vm *apipb.Vm) *apipb.Vm {
	out := proto.CloneOf(vm)
	out.State = f.effectiveState(vm)
	return out
}
