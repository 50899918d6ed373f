package standin

import (
	"os"
	"slices"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/inventory"
)

// maxListed bounds each list of the platform stand-in.
const maxListed = 100_000

// Lists are what the platform publishes.
type Lists struct {
	VMs       []inventory.VM       `json:"vms"`
	Upstreams []inventory.Upstream `json:"upstreams"`
}

// LoadLists reads lists from a JSON file.
func LoadLists(path string) (Lists, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Lists{}, errors.WithType(errors.Trace(err), ErrInvalidConfig)
	}
	var lists Lists
	if err := decodeStrict(data, &lists); err != nil {
		return Lists{}, errors.Annotatef(err, "file %s", path)
	}
	return lists, errors.Annotatef(lists.check(), "file %s", path)
}

func (l Lists) check() error {
	if len(l.VMs) > maxListed || len(l.Upstreams) > maxListed {
		return errors.WithType(errors.Errorf("more than %d entries", maxListed), ErrTooManyEntries)
	}
	if err := checkEntries(l.VMs, vmKey); err != nil {
		return errors.Trace(err)
	}
	return checkEntries(l.Upstreams, upstreamKey)
}

func vmKey(v inventory.VM) string             { return v.Name }
func upstreamKey(u inventory.Upstream) string { return u.ID }

func checkEntries[T interface{ Validate() error }](entries []T, key func(T) string) error {
	seen := make(map[string]bool, len(entries))
	for i, entry := range entries {
		if err := entry.Validate(); err != nil {
			return errors.WithType(errors.Annotatef(err, "entry %d", i), ErrInvalidConfig)
		}
		if seen[key(entry)] {
			return errors.WithType(errors.Errorf("%q is listed twice", key(entry)), ErrInvalidConfig)
		}
		seen[key(entry)] = true
	}
	return nil
}

// withEntry returns a copy of entries in which entry is added or replaced.
func withEntry[T any](entries []T, key func(T) string, entry T) []T {
	copied := slices.Clone(entries)
	for i := range copied {
		if key(copied[i]) == key(entry) {
			copied[i] = entry
			return copied
		}
	}
	return append(copied, entry)
}

// withChange returns a copy of entries in which change was applied to one.
func withChange[T any](entries []T, key func(T) string, id string, change func(*T)) ([]T, error) {
	copied := slices.Clone(entries)
	for i := range copied {
		if key(copied[i]) == id {
			change(&copied[i])
			return copied, nil
		}
	}
	return nil, errors.WithType(errors.Errorf("%q", id), ErrNotFound)
}
