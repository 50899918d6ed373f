package standin

import (
	"os"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/settings"
)

// maxFleetUpstreams is the largest number of upstreams in one process.
const maxFleetUpstreams = 1000

// FleetMember is one upstream of a fleet and the address it listens on.
type FleetMember struct {
	UpstreamConfig
	Address settings.Address `json:"address"`
}

// FleetConfig is the content of the JSON file that configures standin-upstream.
type FleetConfig struct {
	Upstreams []FleetMember `json:"upstreams"`
}

// LoadFleetConfig reads the configuration of a fleet from a JSON file.
func LoadFleetConfig(path string) (FleetConfig, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return FleetConfig{}, errors.WithType(errors.Trace(err), ErrInvalidConfig)
	}
	var config FleetConfig
	return config, errors.Annotatef(decodeStrict(data, &config), "file %s", path)
}

func (c FleetConfig) validate() error {
	if len(c.Upstreams) > maxFleetUpstreams {
		return errors.WithType(errors.Errorf("more than %d upstreams", maxFleetUpstreams), ErrTooManyEntries)
	}
	ids := make(map[string]bool, len(c.Upstreams))
	for _, member := range c.Upstreams {
		if member.ID == "" || ids[member.ID] {
			return errors.WithType(errors.Errorf("upstream id %q is empty or duplicated", member.ID), ErrInvalidConfig)
		}
		if !member.Address.IsValid() {
			return errors.WithType(errors.Errorf("upstream %q has no address", member.ID), ErrInvalidConfig)
		}
		ids[member.ID] = true
	}
	return nil
}
