package standin

import (
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/inventory"
)

// maxDelay bounds service times and delays, so that they do not overflow.
const maxDelay = 24 * time.Hour

// Behaviour is the body of PUT /standin. It replaces the previous behaviour.
type Behaviour struct {
	Mode Mode `json:"mode"`
	// DelayMS is added to the service time in ModeSlow.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Unhealthy makes GET /healthz respond with 503 in every mode.
	Unhealthy bool `json:"unhealthy,omitempty"`
	// Load replaces the measured load in responses to GET /load.
	Load *inventory.Load `json:"load,omitempty"`

	// lastSilentConn is the number of the newest connection that ModeSilentOpen affects.
	lastSilentConn uint64
}

func (b *Behaviour) validate() error {
	if b.Mode == "" {
		b.Mode = ModeNormal
	}
	if !b.Mode.valid() {
		return errors.WithType(errors.Errorf("unknown mode %q", b.Mode), ErrInvalidConfig)
	}
	if b.DelayMS < 0 || b.DelayMS > maxDelay.Milliseconds() {
		return errors.WithType(errors.Errorf("delay_ms %d is outside the range 0 to %d", b.DelayMS, maxDelay.Milliseconds()), ErrInvalidConfig)
	}
	return nil
}

// isSilent reports whether requests on a connection get no response. Connections
// are numbered from 1; 0 means that the number is unknown.
func (b *Behaviour) isSilent(connNumber uint64) bool {
	return b.Mode == ModeSilent ||
		b.Mode == ModeSilentOpen && connNumber != 0 && connNumber <= b.lastSilentConn
}
