package pace

import "time"

const (
	// one request in flight is always admitted, except in a rest: an upstream without any request would
	// never be seen to recover.
	one = 1.0
	// shrinkFactor is applied to the window when the upstream shows overload.
	shrinkFactor = 0.5
	// busyGrowth is what a response in time adds while the upstream reports waiting requests; less if there
	// are more VMs than slots.
	busyGrowth = 0.5
)

// Window is how many requests one VM may have in flight at a paced upstream. It is not safe for concurrent
// use.
type Window struct {
	reason Reason
	began  time.Time
	share  Share
	// opens is when the window admits requests; zero until the first request is considered.
	opens time.Time
	// size is the window in requests.
	size float64
	// shrunk is set once the upstream has shown overload. The window then grows by one for each window of
	// responses.
	shrunk bool
	// responded is set once the upstream has responded.
	responded bool
	// adopted is set once the window follows other VMs.
	adopted bool
	// used is set once a request was sent, and filled when the window was full since it last shrank.
	used, filled bool
	// sentBefore counts the requests in flight when the window last shrank. Their results show the
	// same overload, so they don't shrink it again.
	sentBefore int
}

// Begin returns the window of an upstream. It opens once the delay of the share has passed after the first
// request is considered.
func Begin(now time.Time, reason Reason, share Share) *Window {
	w := &Window{reason: reason, began: now}
	w.Resize(share)
	return w
}

// BeginAt returns a window of one request that opens at the given time.
func BeginAt(now, opens time.Time, reason Reason, slots int) *Window {
	w := Begin(now, reason, Share{Slots: slots, Start: one, Floor: one})
	w.opens = opens
	return w
}

// Reason returns why the upstream is paced.
func (w *Window) Reason() Reason { return w.reason }

// Began returns when pacing began.
func (w *Window) Began() time.Time { return w.began }

// Used reports whether a request was sent.
func (w *Window) Used() bool { return w.used }

// Responded reports whether the upstream has responded since pacing began.
func (w *Window) Responded() bool { return w.responded }

// Shrunk reports whether the upstream has shown overload since pacing began.
func (w *Window) Shrunk() bool { return w.shrunk }

// OpensAt returns when the window admits requests; zero if no request was considered yet.
func (w *Window) OpensAt() time.Time { return w.opens }

// Admits reports whether a request may be sent while others are in flight.
func (w *Window) Admits(now time.Time, inFlight int) bool {
	if w.opens.IsZero() {
		w.opens = now.Add(w.share.Delay)
	}
	return !now.Before(w.opens) && inFlight < w.requests()
}

// Sent records that a request was sent, with the number then in flight.
func (w *Window) Sent(inFlight int) {
	w.used = true
	w.filled = w.filled || inFlight >= w.requests()
}

// requests returns the window in whole requests.
func (w *Window) requests() int { return max(int(w.size), 1) }

// Record updates the window with the result of a request, with the number still in flight. overload is
// true for a timeout that the VMs have caused by filling the upstream: it says nothing about an outage.
// At the smallest window, a timeout is none of their doing.
func (w *Window) Record(now time.Time, inFlight int, r Result) (overload bool) {
	earlier := w.sentBefore > 0
	w.sentBefore = max(0, w.sentBefore-1)
	w.responded = w.responded || r != TimedOut && r != Failed
	switch r {
	case InTime:
		w.grow(1)
	case Busy:
		w.grow(busyGrowth * w.share.Floor)
	case Neutral:
	case Failed:
		w.shrink(inFlight, one)
	case TimedOut:
		overload = earlier || w.filled && w.size > w.share.Floor
		if !earlier {
			w.timeOut(now, inFlight)
		}
	default:
		if !earlier {
			w.shrink(inFlight, max(w.size*shrinkFactor, one))
		}
	}
	return overload
}

// timeOut shrinks the window after a timeout, below one request if there are more VMs than slots.
func (w *Window) timeOut(now time.Time, inFlight int) {
	if w.size > one {
		w.shrink(inFlight, max(w.size*shrinkFactor, one))
		return
	}
	w.shrink(inFlight, w.share.Floor)
	if w.share.Floor < one {
		w.opens = now.Add(w.share.Rest)
	}
}

func (w *Window) grow(by float64) {
	switch {
	case w.size < one:
		w.size = one
		return
	case w.shrunk:
		by /= w.size
	}
	w.size += by
}

func (w *Window) shrink(inFlight int, size float64) {
	w.size = min(w.size, size)
	w.shrunk, w.filled, w.sentBefore = true, false, inFlight
}

// Complete reports whether the window has grown past the slots of the upstream.
func (w *Window) Complete() bool { return w.size > w.full() }

// Progress returns how far the window has grown, from above 0 to 1.
func (w *Window) Progress() float64 { return min(w.size/w.full(), 1) }

// full is the window at which this VM alone may use all slots.
func (w *Window) full() float64 { return float64(max(w.share.Slots, 1)) }

// Adopt continues from the progress of other VMs, unless this VM has had a response of its own or has shrunk the
// window. If there are more VMs than slots, it takes a part, since all VMs may do so at once.
func (w *Window) Adopt(now time.Time, progress float64) {
	if w.responded || w.shrunk || w.reason == Paused {
		return
	}
	w.adopted = true
	w.size = max(w.size, min(progress, 1)*w.full()*w.share.Floor)
	if w.opens.IsZero() || w.opens.After(now) {
		w.opens = now
	}
}

// Resize sets the share again after a change of the fleet. Without a response, a window that is too large for it
// shrinks; otherwise the window stays as it is once a request was sent.
func (w *Window) Resize(share Share) {
	share.Floor = min(share.Floor, one)
	w.share = share
	switch start := max(share.Start, one); {
	case !w.used && !w.adopted && w.opens.IsZero():
		w.size = start
	case !w.responded && !w.adopted:
		w.size = min(w.size, start)
	}
}
