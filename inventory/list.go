package inventory

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/clock"
)

// maxLoggedEntries bounds the log lines for one list; further entries are only counted.
const maxLoggedEntries = 10

// entry is a VM or an upstream.
type entry interface {
	comparable
	Validate() error
	key() string
}

// List is a list published by the platform, sorted by name or id.
type List[T entry] struct {
	Entries []T
	// FetchedAt is when the request for the list was sent.
	FetchedAt clock.Instant
	// Fetched is false until the first list is received.
	Fetched bool
}

// Age returns the time since the request for the list was sent.
func (l List[T]) Age(now clock.Instant) time.Duration {
	return now.ElapsedSince(l.FetchedAt)
}

// Equal reports whether both lists hold the same entries.
func (l List[T]) Equal(other List[T]) bool {
	return l.Fetched == other.Fetched && slices.Equal(l.Entries, other.Entries)
}

// decodeList decodes a list, and drops and logs entries that are invalid or repeat
// a key. Unknown fields are ignored, so that the platform can add fields. A list
// with entries but no valid one is an error: applying it would remove everything.
func decodeList[T entry](data []byte, logger logrus.FieldLogger) ([]T, error) {
	var raw []json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, errors.WithType(errors.Annotate(err, "list"), ErrMalformed)
	}
	entries := make([]T, 0, len(raw))
	seen := make(map[string]bool, len(raw))
	dropped := 0
	for i, message := range raw {
		decoded, err := decodeEntry[T](message, seen)
		if err == nil {
			entries = append(entries, decoded)
			continue
		}
		if dropped++; dropped <= maxLoggedEntries {
			logger.WithError(err).WithField("index", i).Error("dropped invalid platform list entry")
		}
	}
	if dropped > maxLoggedEntries {
		logger.WithField("dropped", dropped).Error("dropped invalid platform list entries")
	}
	if len(entries) == 0 && dropped > 0 {
		return nil, errors.WithType(errors.Errorf("all %d entries are invalid", dropped), ErrMalformed)
	}
	slices.SortFunc(entries, compareKeys[T])
	return entries, nil
}

func decodeEntry[T entry](message json.RawMessage, seen map[string]bool) (T, error) {
	var decoded T
	if err := json.Unmarshal(message, &decoded); err != nil {
		return decoded, errors.WithType(errors.Trace(err), ErrEntry)
	}
	if err := decoded.Validate(); err != nil {
		return decoded, errors.Trace(err)
	}
	if seen[decoded.key()] {
		return decoded, errors.WithType(errors.Errorf("duplicate key %q", decoded.key()), ErrEntry)
	}
	seen[decoded.key()] = true
	return decoded, nil
}

func compareKeys[T entry](a, b T) int {
	switch {
	case a.key() < b.key():
		return -1
	case a.key() > b.key():
		return 1
	default:
		return 0
	}
}
