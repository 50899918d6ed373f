package control

import "time"

const (
	// TickInterval is the unit of all consensus timeouts.
	TickInterval = 50 * time.Millisecond
	// electionTicks is the election timeout: 600 ms, over five round trips between
	// regions. Grants last 3 s and are renewed each second, so a new owner must
	// answer about 1.7 s after the loss of the old one. An election timeout of 1 s
	// plus its random part came too close to that.
	electionTicks = 12
	// maxCatchUpTicks is the most ticks that are counted after a pause. It exceeds
	// every lease and election timeout, so further ticks have no effect.
	maxCatchUpTicks = 200
	// confirmInterval is how often a polled daemon confirms with the leader's
	// majority that its state is current.
	confirmInterval = 250 * time.Millisecond
	// confirmAfterPoll is how long after a poll the state is kept confirmed.
	confirmAfterPoll = 5 * time.Second
	// readTimeout is the age at which an unanswered read confirmation is dropped.
	readTimeout = 5 * time.Second
	// MaxWatchWait is the longest time that a poll waits for a change.
	MaxWatchWait = time.Second
	// proposeTimeout bounds a command. After it the outcome is unknown.
	proposeTimeout = 5 * time.Second
	// memberActiveFor is how long after its last message a member counts as running.
	memberActiveFor = 3 * time.Second
	// memberCheckInterval is how often the leader looks for learners to promote.
	memberCheckInterval = 500 * time.Millisecond
	// joinInterval is how often a daemon without a cluster asks its peers.
	joinInterval = 500 * time.Millisecond
	// rejoinInterval is how often a member checks that it still belongs to the
	// group. It exceeds the time of an election, during which no leader is known.
	rejoinInterval = 2 * time.Second
	// peerTimeout bounds one call to another control daemon.
	peerTimeout = 2 * time.Second
	// transferTimeout bounds the transfer of leadership at a planned stop.
	transferTimeout = 3 * time.Second
	// snapshotEntries is the number of applied entries after which a snapshot is
	// taken.
	snapshotEntries = 20_000
	// minSnapshotLogBytes is the size of applied entries after which one is taken, if the last
	// snapshot has not more than 1/snapshotLogRatio of it.
	minSnapshotLogBytes = 1 << 20
	snapshotLogRatio    = 2
	// chunkBytes is the size of one chunk of a document snapshot.
	chunkBytes = 256 << 10
	// maxMessageBytes bounds one consensus message. It must hold a whole document.
	maxMessageBytes = 9 << 20
	// maxAppendBytes bounds the entries of one message, but for a single larger one, and one part of
	// a snapshot: it passes between regions in a fraction of peerTimeout.
	maxAppendBytes = 256 << 10
	// MaxVoters is the largest number of voters. Further members stay learners.
	MaxVoters = 5
)
