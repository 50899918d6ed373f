package fairqueue

import "context"

// Ticket represents one request in the queue.
type Ticket[S any] struct {
	queue   *Queue[S]
	flow    *flow[S]
	request Request
	done    chan struct{}

	// The fields below are guarded by the lock of the queue until done is closed.
	previous, next *Ticket[S]
	settled        bool
	slot           S
	err            error
}

// Done returns a channel that is closed when the request has a slot or was rejected.
func (t *Ticket[S]) Done() <-chan struct{} { return t.done }

// Result returns the slot or the rejection. It blocks until Done is closed.
func (t *Ticket[S]) Result() (S, error) {
	<-t.done
	return t.slot, t.err
}

// Cancel stops waiting. If the request already has a slot, Cancel returns it with true, and the
// caller must release it.
func (t *Ticket[S]) Cancel() (S, bool) {
	t.queue.cancel(t)
	return t.slot, t.err == nil
}

// Wait blocks until the request has a slot, is rejected or ctx ends. A slot that was assigned just
// before ctx ended is returned and must be released by the caller.
func (t *Ticket[S]) Wait(ctx context.Context) (S, error) {
	select {
	case <-t.done:
	case <-ctx.Done():
		t.queue.cancel(t)
	}
	return t.slot, t.err
}

// settle stores the result and closes done. The caller holds the lock of the queue.
func (t *Ticket[S]) settle(slot S, err error) {
	t.settled, t.slot, t.err = true, slot, err
	close(t.done)
}
