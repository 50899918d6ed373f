package standin

import (
	"os"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/settings"
)

// maxFleet bounds the upstreams of one process.
const maxFleet = 1000

// FleetMember is one upstream of a fleet and the address it listens on.
type FleetMember struct {
	UpstreamConfig
	Address settings.Address `json:"address"`
}

// FleetConfig is the JSON file of standin-upstream.
type FleetConfig struct {
	Upstreams []FleetMember `json:"upstreams"`
}

// LoadFleetConfig reads a fleet from a JSON file.
func LoadFleetConfig(path string) (FleetConfig, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return FleetConfig{}, errors.WithType(errors.Trace(err), ErrInvalidConfig)
	}
	var config FleetConfig
	return config, errors.Annotatef(decodeStrict(data, &config), "file %s", path)
}

func (c FleetConfig) check() error {
	if len(c.Upstreams) > maxFleet {
		return errors.WithType(errors.Errorf("more than %d upstreams", maxFleet), ErrTooManyEntries)
	}
	ids := make(map[string]bool, len(c.Upstreams))
	for _, member := range c.Upstreams {
		if member.ID == "" || ids[member.ID] {
			return errors.WithType(errors.Errorf("upstream id %q is empty or used twice", member.ID), ErrInvalidConfig)
		}
		if !member.Address.IsValid() {
			return errors.WithType(errors.Errorf("upstream %q has no address", member.ID), ErrInvalidConfig)
		}
		ids[member.ID] = true
	}
	return nil
}
