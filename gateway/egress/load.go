package egress

import (
	"strconv"
	"strings"
)

// Load is the load that an upstream reports of itself.
type Load struct {
	Running, Waiting, Slots int
}

// parseLoad parses a report of the form "running,waiting,slots".
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
	return Load{Running: values[0], Waiting: values[1], Slots: values[2]}, true
}
