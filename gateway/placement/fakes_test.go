package placement

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"pistachiomount.example/pistachiomount/inventory"
)

var start = time.Unix(1_000_000, 0)

func upstreamsOf(region, domain string, n, slots int) []inventory.Upstream {
	var list []inventory.Upstream
	for i := range n {
		list = append(list, inventory.Upstream{
			ID: fmt.Sprintf("%s-%d", domain, i), Service: "s", Region: region, FailureDomain: domain,
			Address: netip.MustParseAddrPort("10.0.0.1:80"), State: inventory.Live, Slots: slots,
		})
	}
	return list
}

// simUpstream models one upstream: slots, a queue, and the objects of its last
// requests, for which it is fast.
type simUpstream struct {
	slots   int
	running int
	queue   []*simRequest
	lately  []uint64
	keeps   int // requests whose objects it is warm for
}

const (
	simKeeps  = 57  // of upstreams with memory for many objects
	simWarm   = 0.3 // of the time of a cold request
	simQueue  = 18
	simWork   = 400 * time.Millisecond
	simTarget = 400 * time.Millisecond
)

func (u *simUpstream) warm(object uint64) bool {
	for _, o := range u.lately {
		if o == object {
			return true
		}
	}
	return false
}

func (u *simUpstream) handled(object uint64) {
	u.lately = append(u.lately, object)
	if len(u.lately) > u.keeps {
		u.lately = u.lately[1:]
	}
}

type simRequest struct {
	vm       int
	object   uint64
	arrived  time.Time
	upstream string
}

// simEvent is the end of a run, or an arrival if request is nil.
type simEvent struct {
	at      time.Time
	request *simRequest
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// replay is a seeded load pattern over several VMs of one region.
type replay struct {
	rng       *rand.Rand
	vms       int
	objects   int
	perSecond float64
	length    time.Duration
	keeps     int // requests whose objects an upstream is warm for
	upstreams map[string]*simUpstream
	list      []inventory.Upstream
	// pick chooses an upstream for a request at a VM, or returns false.
	pick func(vm int, now time.Time, object uint64) (string, bool)
	done func(vm int, now time.Time, id string, o Outcome)

	events                   simEvents
	inTime, late, turnedAway int
}

// run plays the pattern and counts the answers.
func (r *replay) run() {
	r.upstreams = map[string]*simUpstream{}
	for _, u := range r.list {
		r.upstreams[u.ID] = &simUpstream{slots: u.Slots, keeps: r.keeps}
	}
	heap.Push(&r.events, simEvent{at: start})
	for r.events.Len() > 0 {
		e := heap.Pop(&r.events).(simEvent)
		if e.request != nil {
			r.finish(e.at, e.request)
			continue
		}
		if e.at.Sub(start) < r.length {
			gap := time.Duration(-math.Log(1-r.rng.Float64()) / r.perSecond * float64(time.Second))
			heap.Push(&r.events, simEvent{at: e.at.Add(gap)})
			r.arrive(e.at)
		}
	}
}

func (r *replay) arrive(now time.Time) {
	q := &simRequest{vm: r.rng.IntN(r.vms), object: uint64(1 + r.rng.IntN(r.objects)), arrived: now}
	q.object = ObjectHash(fmt.Sprint(q.object))
	id, ok := r.pick(q.vm, now, q.object)
	if !ok {
		r.turnedAway++
		return
	}
	q.upstream = id
	u := r.upstreams[id]
	switch {
	case u.running < u.slots:
		r.begin(now, u, q)
	case len(u.queue) < simQueue:
		u.queue = append(u.queue, q)
	default:
		r.turnedAway++
		r.done(q.vm, now, id, Outcome{Rejected: true, Reported: true, Running: u.running, Waiting: len(u.queue)})
	}
}

func (r *replay) begin(now time.Time, u *simUpstream, q *simRequest) {
	u.running++
	work := float64(simWork) * (0.85 + 0.3*r.rng.Float64())
	if u.warm(q.object) {
		work *= simWarm
	}
	heap.Push(&r.events, simEvent{at: now.Add(time.Duration(work)), request: q})
}

func (r *replay) finish(now time.Time, q *simRequest) {
	u := r.upstreams[q.upstream]
	u.handled(q.object)
	r.done(q.vm, now, q.upstream, Outcome{Reported: true, Running: u.running, Waiting: len(u.queue), LatencyRatio: 1})
	u.running--
	if len(u.queue) > 0 {
		next := u.queue[0]
		u.queue = u.queue[1:]
		r.begin(now, u, next)
	}
	if now.Sub(q.arrived) <= simTarget {
		r.inTime++
	} else {
		r.late++
	}
}
