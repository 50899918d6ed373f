package store

import (
	"maps"
	"slices"

	"pistachiomount.example/pistachiomount/apipb"
)

// holders are the processes that may hold grants, as incarnations by VM.
type holders map[string]uint64

// set records that a process may hold grants, or that it holds none any more. A
// later process of a VM takes the place of the one before.
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

// Holders returns the processes that may hold grants, as incarnations by VM.
func (s *Store) Holders() map[string]uint64 { return maps.Clone(s.holders) }
