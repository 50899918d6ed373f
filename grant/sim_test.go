package grant

import (
	"math/rand/v2"
	"time"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

// simNode is a process whose clock runs at speed times the reference time.
type simNode struct {
	clock     clock.Manual
	speed     float64
	frozen    time.Duration // the process does nothing until then
	suspended time.Duration // the monotonic clock stops until then
}

func (n *simNode) advance(now, dt time.Duration) {
	dt = time.Duration(float64(dt) * n.speed)
	if now < n.suspended {
		n.clock.Suspend(dt)
		return
	}
	n.clock.Advance(dt)
}

type simOwner struct {
	simNode
	owner *Owner
}

type simHolder struct {
	simNode
	holder *Holder
	vm     string
	target int // owner that it sends to
	// maxTakes is the most tokens and units that the holder tries to take at each step.
	maxTakes        int
	pendingReleases int // units to release once the process runs again
	// region is set for a regional owner, which renews at the leader and takes nothing
	// itself. parent is set for the holders of a region.
	region *RegionalOwner
	parent *simHolder
}

// simMessage is a request or a reply in flight.
type simMessage struct {
	at      time.Duration
	owner   int
	parent  *simHolder // regional owner that the request is sent to
	holder  *simHolder
	request *apipb.RenewRequest
	checked bool // the owner has checked its leader lease and then stalled
	reply   *apipb.RenewReply
}

// simWorld runs owners of successive terms and holders in virtual time.
type simWorld struct {
	rng      *rand.Rand
	now      time.Duration
	caps     []Cap
	cfg      OwnerConfig
	owners   []*simOwner
	holders  []*simHolder
	messages []simMessage
	// delays returns the delay of each copy of a message; a message without copies is lost.
	delays func() []time.Duration
	// stall returns how long an owner stalls between lease check and handling.
	stall func() time.Duration
	speed func() float64
	sent  int
	// observe is called with each message that is sent.
	observe func(simMessage)
}

func newSimWorld(seed uint64, cfg OwnerConfig, caps []Cap) *simWorld {
	return &simWorld{
		rng: rand.New(rand.NewPCG(seed, 1)), cfg: cfg, caps: caps,
		delays: func() []time.Duration { return []time.Duration{0} },
		stall:  func() time.Duration { return 0 },
		speed:  func() float64 { return 1 },

		observe: func(simMessage) {},
	}
}

// elect starts the owner of the next term; earlier owners have no valid leader lease from then on.
func (w *simWorld) elect() {
	o := &simOwner{simNode: simNode{speed: w.speed()}}
	cfg := w.cfg
	cfg.Term = uint64(len(w.owners) + 1)
	cfg.NoPredecessor = len(w.owners) == 0
	o.owner = NewOwner(cfg, &o.clock)
	o.owner.SetCaps(w.caps)
	w.owners = append(w.owners, o)
}

func (w *simWorld) addHolder(vm string, incarnation uint64) *simHolder {
	h := &simHolder{simNode: simNode{speed: w.speed()}, vm: vm}
	h.holder = NewHolder(HolderConfig{VM: vm, Incarnation: incarnation}, &h.clock)
	for _, c := range w.caps {
		if c.Kind == apipb.ResourceKind_RESOURCE_KIND_UNITS {
			h.holder.Units(c.Resource)
		} else {
			h.holder.Bucket(c.Resource)
		}
	}
	w.holders = append(w.holders, h)
	return h
}

func (h *simHolder) needsRenewal() bool {
	if h.region != nil {
		return h.region.NeedsRenewal()
	}
	return h.holder.NeedsRenewal()
}

// newestProcess returns the newest process of a VM, nil if there is none.
func (w *simWorld) newestProcess(vm string) (newest *simHolder) {
	for _, h := range w.holders {
		if h.vm == vm {
			newest = h
		}
	}
	return newest
}

// addRegionalOwner starts a regional owner whose term is its incarnation.
func (w *simWorld) addRegionalOwner(name string, incarnation uint64) *simHolder {
	h := &simHolder{simNode: simNode{speed: w.speed()}, vm: name}
	h.region = NewRegionalOwner(HolderConfig{VM: name, Incarnation: incarnation},
		OwnerConfig{Term: incarnation, Quarantine: w.cfg.Quarantine}, &h.clock)
	h.holder = h.region.holder
	for _, c := range w.caps {
		h.region.AddResource(c)
	}
	w.holders = append(w.holders, h)
	return h
}

func (w *simWorld) send(m simMessage) {
	w.observe(m)
	for _, d := range w.delays() {
		m.at = w.now + d
		w.messages = append(w.messages, m)
	}
}

func (w *simWorld) renew(h *simHolder) {
	w.sent++
	if h.region != nil {
		w.send(simMessage{owner: h.target, holder: h, request: h.region.BuildRequest()})
		return
	}
	w.send(simMessage{owner: h.target, parent: h.parent, holder: h, request: h.holder.BuildRequest()})
}

// step advances the reference time, delivers the messages that are due and lets holders renew.
func (w *simWorld) step(dt time.Duration) {
	w.now += dt
	for _, o := range w.owners {
		o.advance(w.now, dt)
	}
	for _, h := range w.holders {
		h.advance(w.now, dt)
	}
	w.deliver()
	for _, h := range w.holders {
		if w.now >= h.frozen && h.needsRenewal() {
			w.renew(h)
		}
	}
}

func (w *simWorld) deliver() {
	pending := w.messages
	w.messages = nil
	for _, m := range pending {
		receiver := &m.holder.simNode
		switch {
		case m.request != nil && m.parent != nil:
			receiver = &m.parent.simNode
		case m.request != nil:
			receiver = &w.owners[m.owner].simNode
		}
		switch {
		case m.at > w.now || receiver.frozen > w.now:
			w.messages = append(w.messages, m)
		case m.request != nil:
			w.handle(m)
		default:
			w.accept(m)
		}
	}
}

func (w *simWorld) handle(m simMessage) {
	if m.parent != nil {
		w.send(simMessage{holder: m.holder, reply: m.parent.region.Renew(m.request)})
		return
	}
	valid := m.checked || m.owner == len(w.owners)-1
	if d := w.stall(); valid && !m.checked && d > 0 {
		m.checked, m.at = true, w.now+d
		w.messages = append(w.messages, m)
		return
	}
	reply := w.owners[m.owner].owner.Renew(m.request, valid)
	w.send(simMessage{holder: m.holder, reply: reply})
}

func (w *simWorld) accept(m simMessage) {
	if m.holder.holder.Accept(m.reply) != ErrNotLeader {
		return
	}
	m.holder.target = len(w.owners) - 1
	if m.holder.parent != nil {
		m.holder.parent = w.newestProcess(m.holder.parent.vm)
	}
}
