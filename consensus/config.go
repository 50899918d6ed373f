package consensus

import "github.com/juju/errors"

const (
	// DefaultElectionTicks is the election timeout. At 50 ms a tick it is 1 s,
	// nine round trips between regions.
	DefaultElectionTicks = 20
	// DefaultHeartbeatTicks is 100 ms at 50 ms a tick.
	DefaultHeartbeatTicks = 2
	// DefaultMaxMessageBytes bounds the entries of one append and one snapshot chunk.
	DefaultMaxMessageBytes = 1 << 20
	// DefaultMaxInflight bounds the appends on the way to one member.
	DefaultMaxInflight = 32
	// DefaultMaxUncommittedBytes bounds what a leader that cannot commit buffers.
	DefaultMaxUncommittedBytes = 64 << 20
	// DefaultKeepEntries is how many entries below a snapshot stay in memory, so
	// that a member that is slightly behind needs no snapshot.
	DefaultKeepEntries = 4096
	// DefaultMaxPendingReads bounds the reads that wait for a heartbeat round.
	DefaultMaxPendingReads = 4096

	// entryOverheadBytes covers the framing and the index, term and type of an entry.
	entryOverheadBytes = 48
	// messageOverheadBytes covers the fields of a message outside its entries.
	messageOverheadBytes = 256

	// electionRetryDivisor of the election timeout is the least time between two elections
	// while no leader is known: 150 ms at 600 ms, above a round trip between regions.
	electionRetryDivisor = 4
	// leasePercent bounds the lease as a share of the election timeout. The
	// leader's ticks may be 2% slow and a follower's 2% fast: 0.98/1.02 > 0.96.
	leasePercent = 96
)

// Config holds the settings of a Node. Zero values take the defaults.
type Config struct {
	// ID is the random id of this member. It must not be zero.
	ID uint64
	// Seed feeds the random election timeouts. It must differ between members
	// and between starts of one member.
	Seed uint64

	ElectionTicks       int
	HeartbeatTicks      int
	MaxMessageBytes     int
	MaxInflight         int
	MaxUncommittedBytes int
	KeepEntries         int
	MaxPendingReads     int
}

func (c Config) withDefaults() Config {
	for _, f := range []struct {
		field    *int
		fallback int
	}{
		{&c.ElectionTicks, DefaultElectionTicks},
		{&c.HeartbeatTicks, DefaultHeartbeatTicks},
		{&c.MaxMessageBytes, DefaultMaxMessageBytes},
		{&c.MaxInflight, DefaultMaxInflight},
		{&c.MaxUncommittedBytes, DefaultMaxUncommittedBytes},
		{&c.KeepEntries, DefaultKeepEntries},
		{&c.MaxPendingReads, DefaultMaxPendingReads},
	} {
		if *f.field == 0 {
			*f.field = f.fallback
		}
	}
	return c
}

func (c Config) validate() error {
	switch {
	case c.ID == 0:
		return errors.Annotate(ErrInvalidConfig, "ID must not be zero")
	case c.HeartbeatTicks < 1:
		return errors.Annotatef(ErrInvalidConfig, "HeartbeatTicks %d must be at least 1", c.HeartbeatTicks)
	case c.leaseTicks() <= uint64(c.HeartbeatTicks):
		return errors.Annotatef(ErrInvalidConfig, "ElectionTicks %d must leave a lease longer than HeartbeatTicks %d",
			c.ElectionTicks, c.HeartbeatTicks)
	case c.MaxMessageBytes <= 2*messageOverheadBytes:
		return errors.Annotatef(ErrInvalidConfig, "MaxMessageBytes %d must be above %d", c.MaxMessageBytes, 2*messageOverheadBytes)
	case c.MaxInflight < 1 || c.MaxUncommittedBytes < 1 || c.KeepEntries < 0 || c.MaxPendingReads < 1:
		return errors.Annotate(ErrInvalidConfig, "limits must be positive")
	}
	return nil
}

// leaseTicks returns how long an acknowledged heartbeat round gives a lease. One
// tick is taken off the election timeout because a follower that counts whole
// ticks may begin in the middle of one.
func (c Config) leaseTicks() uint64 {
	return uint64(max(c.ElectionTicks-1, 0)) * leasePercent / 100
}

// maxEntryBytes is the largest data of one entry, so that it fits in one message.
func (c Config) maxEntryBytes() int {
	return c.MaxMessageBytes - messageOverheadBytes - entryOverheadBytes
}
