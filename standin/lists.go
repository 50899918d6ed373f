package standin

import (
	"os"
	"slices"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/inventory"
)

// maxListEntries is the largest number of entries in each list of the platform stand-in.
const maxListEntries = 100_000

// Lists are the lists of VMs and upstreams that the platform publishes.
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
	return lists, errors.Annotatef(lists.validate(), "file %s", path)
}

func (l Lists) validate() error {
	if len(l.VMs) > maxListEntries || len(l.Upstreams) > maxListEntries {
		return errors.WithType(errors.Errorf("more than %d entries", maxListEntries), ErrTooManyEntries)
	}
	if err := validateEntries(l.VMs, vmKey); err != nil {
		return errors.Trace(err)
	}
	return validateEntries(l.Upstreams, upstreamKey)
}

func vmKey(v inventory.VM) string             { return v.Name }
func upstreamKey(u inventory.Upstream) string { return u.ID }

func validateEntries[T interface{ Validate() error }](entries []T, key func(T) string) error {
	seen := make(map[string]bool, len(entries))
	for i, entry := range entries {
		if err := entry.Validate(); err != nil {
			return errors.WithType(errors.Annotatef(err, "entry %d", i), ErrInvalidConfig)
		}
		if seen[key(entry)] {
			return errors.WithType(errors.Errorf("duplicate entry %q", key(entry)), ErrInvalidConfig)
		}
		seen[key(entry)] = true
	}
	return nil
}

// upsertEntry returns a copy of entries in which the entry is added or replaced.
func upsertEntry[T any](entries []T, key func(T) string, entry T) []T {
	copied := slices.Clone(entries)
	for i := range copied {
		if key(copied[i]) == key(entry) {
			copied[i] = entry
			return copied
		}
	}
	return append(copied, entry)
}

// updateEntry returns a copy of entries in which change is applied to the entry with the given key.
func updateEntry[T any](entries []T, key func(T) string, id string, change func(*T)) ([]T, error) {
	copied := slices.Clone(entries)
	for i := range copied {
		if key(copied[i]) == id {
			change(&copied[i])
			return copied, nil
		}
	}
	return nil, errors.WithType(errors.Errorf("no entry %q", id), ErrNotFound)
}
