package control

import "time"

const (
	// TickInterval is the unit of all consensus timeouts.
	TickInterval = 50 * time.Millisecond
	// electionTicks is the election timeout, 600 ms: over five round trips between
	// regions. Grants last 3 s and are renewed each second, so a next owner has to
	// answer about 1.7 s after the loss of the last one; 1 s and its random part
	// came too close to that.
	electionTicks = 12
	// maxCatchUpTicks is how many ticks at most are counted after a pause. It is
	// beyond every lease and election timeout, so more would change nothing.
	maxCatchUpTicks = 200
	// confirmInterval is how often a control daemon that is watched confirms its
	// state with the leader's majority.
	confirmInterval = 250 * time.Millisecond
	// confirmAfterPoll is how long after a poll the state is kept confirmed.
	confirmAfterPoll = 5 * time.Second
	// readTimeout is after how long an unanswered read confirmation is forgotten.
	readTimeout = 5 * time.Second
	// MaxWatchWait is how long a poll waits for a change.
	MaxWatchWait = time.Second
	// proposeTimeout bounds a command; beyond it the outcome counts as unknown.
	proposeTimeout = 5 * time.Second
	// memberActiveFor is how long after its last message a member counts as running.
	memberActiveFor = 3 * time.Second
	// memberCheckInterval is how often the leader looks for learners to promote.
	memberCheckInterval = 500 * time.Millisecond
	// joinInterval is how often a daemon without a cluster asks its peers.
	joinInterval = 500 * time.Millisecond
	// rejoinInterval is how often a member looks whether it still belongs to the
	// group. It exceeds an election, during which no leader is known either.
	rejoinInterval = 2 * time.Second
	// peerTimeout bounds one call to another control daemon.
	peerTimeout = 2 * time.Second
	// transferTimeout bounds handing over leadership at a planned stop.
	transferTimeout = 3 * time.Second
	// snapshotEntries is how many applied entries lead to a new snapshot.
	snapshotEntries = 20_000
	// chunkBytes is the size of one piece of a document snapshot.
	chunkBytes = 256 << 10
	// maxMessageBytes bounds one consensus message; a document must fit in it.
	maxMessageBytes = 9 << 20
	// MaxVoters is the most members that vote; further ones stay learners.
	MaxVoters = 5
)
