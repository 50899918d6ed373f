package consensus

import "github.com/juju/errors"

const (
	// DefaultElectionTicks is the election timeout. At 50 ms a tick it is 1 s,
	// nine round trips between regions.
	DefaultElectionTicks = 20
	// DefaultHeartbeatTicks is 100 ms at 50 ms a tick.
	DefaultHeartbeatTicks = 2
	// DefaultMaxMessageBytes bounds one message, and with it one entry.
	DefaultMaxMessageBytes = 1 << 20
	// DefaultMaxAppendBytes bounds the entries of one append, unless it has a single larger one, and
	// one snapshot chunk.
	DefaultMaxAppendBytes = 256 << 10
	// DefaultMaxInflight bounds the unacknowledged appends to one member.
	DefaultMaxInflight = 32
	// DefaultMaxUncommittedBytes bounds the uncommitted entries that a leader buffers.
	DefaultMaxUncommittedBytes = 64 << 20
	// DefaultKeepEntries and DefaultKeepBytes bound the entries below a snapshot that stay in
	// memory, so that a slightly lagging member needs no snapshot.
	DefaultKeepEntries = 4096
	DefaultKeepBytes   = 1 << 20
	// DefaultMinBytesPerTick is 128 kB/s at 50 ms a tick.
	DefaultMinBytesPerTick = 6400
	// DefaultMaxPendingReads bounds the reads that wait for a heartbeat round.
	DefaultMaxPendingReads = 4096

	// entryOverheadBytes bounds the encoded framing, index, term and type of an entry.
	entryOverheadBytes = 48
	// messageOverheadBytes bounds the encoded fields of a message other than its entries.
	messageOverheadBytes = 256

	// electionRetryDivisor divides the election timeout into the minimum time between two
	// elections without a known leader: 150 ms of 600 ms, more than a round trip between
	// regions.
	electionRetryDivisor = 4
	// lossHeartbeats is the number of heartbeat intervals in which a short message is acknowledged.
	lossHeartbeats = 2
	// leasePercent is the lease as a percentage of the election timeout. The leader's
	// ticks may be 2% slow and a follower's 2% fast: 0.98/1.02 > 0.96.
	leasePercent = 96
)

// Config holds the settings of a Node. Zero values are replaced by the defaults,
// except for ID and Seed.
type Config struct {
	// ID is the random id of this member. It must not be zero.
	ID uint64
	// Seed initializes the random generator of election timeouts and read ids. It
	// must differ between members and between starts of one member.
	Seed uint64

	ElectionTicks       int
	HeartbeatTicks      int
	MaxMessageBytes     int
	MaxAppendBytes      int
	MaxInflight         int
	MaxUncommittedBytes int
	KeepEntries         int
	KeepBytes           int
	MaxPendingReads     int
	// MinBytesPerTick is the slowest transfer of a message that is not taken for a lost one.
	MinBytesPerTick int
}

func (c Config) withDefaults() Config {
	for _, f := range []struct {
		field    *int
		fallback int
	}{
		{&c.ElectionTicks, DefaultElectionTicks},
		{&c.HeartbeatTicks, DefaultHeartbeatTicks},
		{&c.MaxMessageBytes, DefaultMaxMessageBytes},
		{&c.MaxAppendBytes, DefaultMaxAppendBytes},
		{&c.MaxInflight, DefaultMaxInflight},
		{&c.MaxUncommittedBytes, DefaultMaxUncommittedBytes},
		{&c.KeepEntries, DefaultKeepEntries},
		{&c.KeepBytes, DefaultKeepBytes},
		{&c.MinBytesPerTick, DefaultMinBytesPerTick},
		{&c.MaxPendingReads, DefaultMaxPendingReads},
	} {
		if *f.field == 0 {
			*f.field = f.fallback
		}
	}
	c.MaxAppendBytes = min(c.MaxAppendBytes, c.MaxMessageBytes)
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
	case c.MaxAppendBytes <= 2*messageOverheadBytes:
		return errors.Annotatef(ErrInvalidConfig, "MaxAppendBytes %d must be above %d", c.MaxAppendBytes, 2*messageOverheadBytes)
	case c.KeepBytes < 0 || c.MinBytesPerTick < 1:
		return errors.Annotate(ErrInvalidConfig, "KeepBytes must not be negative, and MinBytesPerTick must be positive")
	case c.MaxInflight < 1 || c.MaxUncommittedBytes < 1 || c.KeepEntries < 0 || c.MaxPendingReads < 1:
		return errors.Annotate(ErrInvalidConfig, "limits must be positive")
	}
	return nil
}

// leaseTicks returns the duration of the lease that an acknowledged heartbeat round
// gives. One tick is subtracted from the election timeout because a follower counts
// whole ticks and its first one may be partial.
func (c Config) leaseTicks() uint64 {
	return uint64(max(c.ElectionTicks-1, 0)) * leasePercent / 100
}

// maxEntryBytes returns the maximum data size of an entry that fits in one message.
func (c Config) maxEntryBytes() int {
	return c.MaxMessageBytes - messageOverheadBytes - entryOverheadBytes
}

// lossTicks returns after how many ticks without an acknowledgement a message of this size counts as lost,
// if a later heartbeat was acknowledged. Heartbeats may overtake long messages.
func (c Config) lossTicks(bytes int) uint64 {
	return uint64(lossHeartbeats*c.HeartbeatTicks + bytes/c.MinBytesPerTick)
}
