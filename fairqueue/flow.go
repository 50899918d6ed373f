package fairqueue

// flow is the queue of one customer.
type flow[S any] struct {
	weight      float64
	start       float64 // virtual start time of the first ticket
	finish      float64 // virtual finish time of the last one served
	order       uint64  // breaks ties by the time at which the flow became active
	heapIndex   int
	first, last *Ticket[S]
	length      int
	cost        float64 // sum over the queued tickets
}

// push appends a ticket.
func (f *flow[S]) push(t *Ticket[S]) {
	t.previous = f.last
	if f.last != nil {
		f.last.next = t
	} else {
		f.first = t
	}
	f.last = t
	f.length++
	f.cost += t.request.Cost
}

// remove unlinks a ticket at any position.
func (f *flow[S]) remove(t *Ticket[S]) {
	if t.previous != nil {
		t.previous.next = t.next
	} else {
		f.first = t.next
	}
	if t.next != nil {
		t.next.previous = t.previous
	} else {
		f.last = t.previous
	}
	t.previous, t.next = nil, nil
	f.length--
	f.cost -= t.request.Cost
}

// servedBefore estimates how many tickets of f start before virtual time v.
func (f *flow[S]) servedBefore(v float64) int {
	if v <= f.start || f.length == 0 {
		return 0
	}
	mean := f.cost / float64(f.length)
	if count := (v - f.start) * f.weight / mean; count < float64(f.length) {
		return int(count) + 1
	}
	return f.length
}

// flowHeap orders active flows by virtual start time for container/heap.
type flowHeap[S any] []*flow[S]

func (h flowHeap[S]) Len() int { return len(h) }

func (h flowHeap[S]) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].order < h[j].order
}

func (h flowHeap[S]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *flowHeap[S]) Push(x any) {
	f := x.(*flow[S])
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap[S]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return f
}
