package store

import (
	"maps"
	"slices"

	"pistachiomount.example/pistachiomount/apipb"
)

// holders maps each VM to the incarnation of its process that may hold grants.
type holders map[string]uint64

// set records that a process may hold grants, or that it no longer holds any. A
// higher incarnation replaces the previous process of the same VM, and requests
// for lower incarnations change nothing.
func (h holders) set(request *apipb.SetHolder) *apipb.HolderResult {
	known, found := h[request.Vm]
	switch {
	case request.Holds && (!found || known < request.Incarnation):
		h[request.Vm] = request.Incarnation
	case !request.Holds && found && known == request.Incarnation:
		delete(h, request.Vm)
	default:
		return &apipb.HolderResult{}
	}
	return &apipb.HolderResult{Changed: true}
}

func (h holders) snapshot() []*apipb.HolderEntry {
	var entries []*apipb.HolderEntry
	for _, vm := range slices.Sorted(maps.Keys(h)) {
		entries = append(entries, &apipb.HolderEntry{Vm: vm, Incarnation: h[vm]})
	}
	return entries
}

func (h holders) restore(entries []*apipb.HolderEntry) {
	for _, entry := range entries {
		h[entry.Vm] = entry.Incarnation
	}
}

// Holder returns the incarnation of the process of a VM that may hold grants, or 0.
func (s *Store) Holder(vm string) uint64 { return s.holders[vm] }

// Holders returns the processes that may hold grants: the incarnation by VM.
func (s *Store) Holders() map[string]uint64 { return maps.Clone(s.holders) }
