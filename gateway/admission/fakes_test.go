package admission

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"pistachiomount.example/pistachiomount/gateway/placement"
)

var start = time.Unix(1_000_000, 0)

const (
	simSlots    = 20
	simWork     = 100 * time.Millisecond // of one request, so that 200 are done each second
	simTarget   = 400 * time.Millisecond
	simDeadline = 2 * time.Second
	simRanks    = 3
)

// simCaller is a caller that comes back once after a refusal, as those on the sheets do.
type simCaller struct {
	rank     int
	first    time.Time // its first request
	received time.Time
	returned bool
}

// simEvent is an arrival, the end of a wait or the end of a run.
type simEvent struct {
	at     time.Time
	caller *simCaller
	done   bool
	waited *Waiter // whose wait ends
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

// replay plays callers of three ranks against the slots of one region.
type replay struct {
	rng *rand.Rand
	// rate is the load at a time since the start, in requests a second.
	rate func(since time.Duration) float64
	// closed is until when everybody is refused.
	closed time.Duration
	length time.Duration
	// returnAfter is when a refused caller comes back.
	returnAfter func(outage bool, r Refused, u float64) time.Duration
	// byArrival leaves out the order of ranks.
	byArrival bool

	events              simEvents
	queue               Queue
	waiting             map[*Waiter]*simCaller
	busy                int
	asked, inTime, late [simRanks]int
}

func (r *replay) run() {
	r.waiting = map[*Waiter]*simCaller{}
	for at := time.Duration(0); at < r.length; at += time.Millisecond {
		if r.rng.Float64() < r.rate(at)/1000 {
			now := start.Add(at)
			caller := &simCaller{rank: r.rng.IntN(simRanks), first: now, received: now}
			r.asked[caller.rank]++
			heap.Push(&r.events, simEvent{at: now, caller: caller})
		}
	}
	for r.events.Len() > 0 {
		e := heap.Pop(&r.events).(simEvent)
		switch {
		case e.done:
			r.finish(e.at, e.caller)
		case e.waited != nil:
			if r.queue.Remove(e.waited) {
				r.refuse(e.at, e.caller, false)
			}
		case e.at.Before(start.Add(r.closed)):
			r.refuse(e.at, e.caller, true)
		case r.busy < simSlots:
			r.begin(e.at, e.caller)
		default:
			r.wait(e.at, e.caller)
		}
	}
}

func (r *replay) begin(now time.Time, c *simCaller) {
	r.busy++
	heap.Push(&r.events, simEvent{at: now.Add(simWork), caller: c, done: true})
}

func (r *replay) wait(now time.Time, c *simCaller) {
	rank := c.rank
	if r.byArrival {
		rank = 0
	}
	until := HoldUntil(c.received, now, c.first.Add(simDeadline), simTarget)
	w := &Waiter{Query: placement.Query{Rank: rank}, Arrived: now, Until: until}
	r.queue.Add(w)
	r.waiting[w] = c
	heap.Push(&r.events, simEvent{at: until, caller: c, waited: w})
}

func (r *replay) refuse(now time.Time, c *simCaller, outage bool) {
	if c.returned {
		return
	}
	refused := Refused{Left: c.first.Add(simDeadline).Sub(now), Spare: simTarget - now.Sub(c.received) - simWork}
	c.returned = true
	c.received = now.Add(r.returnAfter(outage, refused, r.rng.Float64()))
	heap.Push(&r.events, simEvent{at: c.received, caller: c})
}

func (r *replay) finish(now time.Time, c *simCaller) {
	r.busy--
	switch {
	case now.Sub(c.first) <= simTarget:
		r.inTime[c.rank]++
	default:
		r.late[c.rank]++
	}
	r.queue.Each(func(w *Waiter) bool {
		if r.busy >= simSlots {
			return false
		}
		r.begin(now, r.waiting[w])
		return true
	})
}

// sum adds up the ranks.
func sum(n [simRanks]int) int { return n[0] + n[1] + n[2] }

// decided is what the product does.
func decided(outage bool, r Refused, u float64) time.Duration {
	if outage {
		return AfterOutage(r, u)
	}
	return AfterFull(r, u)
}

// before is what it did: 0.1 to 0.4 s for every refusal.
func before(_ bool, _ Refused, u float64) time.Duration {
	return 100*time.Millisecond + time.Duration(u*float64(300*time.Millisecond))
}
