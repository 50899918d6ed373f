package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/consensus"
	"pistachiomount.example/pistachiomount/store"
)

// EngineConfig holds the settings and dependencies of an Engine.
type EngineConfig struct {
	ClusterID uint64
	Self      *apipb.Member
	Persisted consensus.PersistentState
	Storage   Storage
	Sender    Sender
	Clock     clock.Clock
	Log       logrus.FieldLogger
	// Seed seeds the random election timeouts.
	Seed uint64
}

// Engine runs the consensus node and the store on one goroutine.
type Engine struct {
	cfg   EngineConfig
	node  *consensus.Node
	store *store.Store
	inbox chan func()
	done  chan struct{}

	lastTick     clock.Instant
	appliedIndex uint64
	appliedTerm  uint64
	// snapshotIndex and snapshotBytes are of the latest snapshot, and appliedBytes the size of the
	// entries applied since.
	snapshotIndex uint64
	snapshotBytes int
	appliedBytes  int
	pending       map[uint64]chan store.Result
	confirmation  confirmation
	lastHeard     map[uint64]clock.Instant // last message by member
	// knownSenders holds the senders of received messages. A new member needs it to
	// answer the leader until it has received the membership.
	knownSenders map[uint64]*apipb.Member
	// memberChangeIndex and memberChangeTerm locate the last member change that this
	// daemon proposed.
	memberChangeIndex, memberChangeTerm uint64
	// leading reports whether this daemon led at the last check, and leadingSince
	// when its current leadership began.
	leading       bool
	leadingSince  clock.Instant
	changed       chan struct{} // closed and replaced at each change of state
	leadershipLog leadershipLog
	updates       *updateCache
}

// inboxSize is the number of events that may wait for the loop. Further senders
// block until their own timeouts.
const inboxSize = 1024

// NewEngine returns an engine that continues from the persisted state.
func NewEngine(cfg EngineConfig) (*Engine, error) {
	node, err := consensus.New(consensus.Config{
		ID: cfg.Self.Id, Seed: cfg.Seed, MaxMessageBytes: maxMessageBytes, MaxAppendBytes: maxAppendBytes,
		ElectionTicks: electionTicks, MinBytesPerTick: minSendRate * int(TickInterval/time.Millisecond) / 1000,
	}, cfg.Persisted)
	if err != nil {
		return nil, errors.Annotate(err, "consensus state")
	}
	e := &Engine{
		cfg:          cfg,
		node:         node,
		store:        store.New(),
		inbox:        make(chan func(), inboxSize),
		done:         make(chan struct{}),
		lastTick:     cfg.Clock.Now(),
		pending:      map[uint64]chan store.Result{},
		lastHeard:    map[uint64]clock.Instant{},
		knownSenders: map[uint64]*apipb.Member{},
		changed:      make(chan struct{}),
		updates:      newUpdateCache(),
	}
	e.confirmation.init()
	if err := e.restore(cfg.Persisted.Snapshot); err != nil {
		return nil, errors.Trace(err)
	}
	return e, nil
}

// Run processes events until the context ends or the log cannot be written.
func (e *Engine) Run(ctx context.Context) error {
	defer close(e.done)
	// Polls must not be answered from the snapshot while the log behind it holds later changes.
	if err := e.processReady(); err != nil {
		return errors.Trace(err)
	}
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			e.advanceTicks()
		case event := <-e.inbox:
			e.advanceTicks()
			event()
			e.runQueued()
		}
		e.confirmIfPolled() // also when a poll has arrived or a leader has become known
		if err := e.processReady(); err != nil {
			return errors.Trace(err)
		}
		e.leadershipLog.observe(e.node.Status(), e.cfg.Log)
	}
}

// runQueued runs the events that are already queued, so that their entries share
// one sync. The process may be paused between two events, so elapsed ticks are
// counted before each.
func (e *Engine) runQueued() {
	for range inboxSize {
		select {
		case event := <-e.inbox:
			e.advanceTicks()
			event()
		default:
			return
		}
	}
}

// advanceTicks counts the ticks that have elapsed. After a pause of the process it
// counts them before any other event runs, so that no lease outlives the pause.
func (e *Engine) advanceTicks() {
	now := e.cfg.Clock.Now()
	ticks := int(now.ElapsedSince(e.lastTick) / TickInterval)
	if ticks <= 0 {
		return
	}
	if ticks > maxCatchUpTicks {
		ticks, e.lastTick = maxCatchUpTicks, now
	} else {
		e.lastTick = e.lastTick.Add(time.Duration(ticks) * TickInterval)
	}
	for range ticks {
		e.node.Tick()
	}
}

// do runs the function on the loop and waits for it. After an error the function
// has not run and never will, so it may write variables of the caller.
func (e *Engine) do(ctx context.Context, f func()) error {
	var settled atomic.Bool // set by whichever comes first: the loop runs f, or the caller's context ends
	finished := make(chan struct{})
	event := func() {
		if settled.CompareAndSwap(false, true) {
			defer close(finished)
			f()
		}
	}
	select {
	case e.inbox <- event:
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-e.done:
		return errors.Trace(ErrStopped)
	}
	err := errors.Trace(ErrStopped)
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		err = errors.Trace(ctx.Err())
	case <-e.done:
	}
	if settled.CompareAndSwap(false, true) {
		return err
	}
	<-finished
	return nil
}

// Step passes messages of another member to the consensus node.
func (e *Engine) Step(ctx context.Context, sender *apipb.Member, messages []*apipb.ConsensusMessage) error {
	return e.do(ctx, func() {
		now := e.cfg.Clock.Now()
		if sender != nil {
			e.knownSenders[sender.Id] = sender
		}
		for _, m := range messages {
			e.lastHeard[m.From] = now
			if err := e.node.Step(m); err != nil {
				e.cfg.Log.WithError(err).WithField("from", m.From).Warn("consensus message rejected")
			}
		}
	})
}

// reportFailure passes on that a message was not delivered.
func (e *Engine) reportFailure(ctx context.Context, m *apipb.ConsensusMessage) {
	// An error means that the engine stops; then nothing is sent again.
	_ = e.do(ctx, func() { e.node.ReportFailure(m.To) })
}

// notifyChange wakes all goroutines that wait for a change of state.
func (e *Engine) notifyChange() {
	close(e.changed)
	e.changed = make(chan struct{})
}
