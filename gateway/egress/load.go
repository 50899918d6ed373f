package egress

import (
	"strconv"
	"strings"
)

const (
	// usualSlowness is the reported value for a machine on which work takes as long as usual.
	usualSlowness = 100
	// maxSlowness is the multiple of the usual above which a value is taken to be wrong.
	maxSlowness = 100
)

// Load is the load that an upstream reports of itself.
type Load struct {
	Running, Waiting, Slots int
	// Slowness is how long work takes on the machine of the upstream now, as a multiple of the usual; 0 if that is not
	// reported.
	Slowness float64
}

// parseLoad parses a report of the form "running,waiting,slots" or "running,waiting,slots,slowness". A slowness that
// cannot be used is ignored, as the upstream reports one many times a second.
func parseLoad(text string) (Load, bool) {
	var values [3]int
	rest := text
	for i := range values {
		var field string
		field, rest, _ = strings.Cut(rest, ",")
		n, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || n < 0 {
			return Load{}, false
		}
		values[i] = n
	}
	field, _, _ := strings.Cut(rest, ",")
	return Load{Running: values[0], Waiting: values[1], Slots: values[2], Slowness: parseSlowness(field)}, true
}

// parseSlowness returns 0 for a value that is missing, not a number, negative or too large.
func parseSlowness(text string) float64 {
	value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if slowness := value / usualSlowness; err == nil && slowness >= 0 && slowness <= maxSlowness {
		return slowness
	}
	return 0
}
