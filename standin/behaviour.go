package standin

import (
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/inventory"
)

// maxDelay bounds service times and delays, so that they do not overflow.
const maxDelay = 24 * time.Hour

// Behaviour is the body of PUT /standin. It replaces the behaviour before.
type Behaviour struct {
	Mode Mode `json:"mode"`
	// DelayMS is added to the service time in ModeSlow.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Unhealthy makes GET /healthz answer 503, whatever the mode.
	Unhealthy bool `json:"unhealthy,omitempty"`
	// Load replaces the true load in answers of GET /load.
	Load *inventory.Load `json:"load,omitempty"`

	// lastSilent is the newest connection that ModeSilentOpen silences.
	lastSilent uint64
}

func (b *Behaviour) check() error {
	if b.Mode == "" {
		b.Mode = ModeNormal
	}
	if !b.Mode.valid() {
		return errors.WithType(errors.Errorf("mode %q", b.Mode), ErrInvalidConfig)
	}
	if b.DelayMS < 0 || b.DelayMS > maxDelay.Milliseconds() {
		return errors.WithType(errors.Errorf("delay_ms %d is not from 0 to %d", b.DelayMS, maxDelay.Milliseconds()), ErrInvalidConfig)
	}
	return nil
}

// silent reports whether requests on a connection get no answer. Connections
// count from 1; 0 means that the number is not known.
func (b *Behaviour) silent(connection uint64) bool {
	return b.Mode == ModeSilent ||
		b.Mode == ModeSilentOpen && connection != 0 && connection <= b.lastSilent
}
