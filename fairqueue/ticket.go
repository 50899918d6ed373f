package fairqueue

import "context"

// Ticket is one request in the queue.
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

// Done is closed when the request has a slot or was rejected.
func (t *Ticket[S]) Done() <-chan struct{} { return t.done }

// Result returns the slot or the rejection. It may be called once Done is closed.
func (t *Ticket[S]) Result() (S, error) {
	<-t.done
	return t.slot, t.err
}

// Cancel gives up waiting. If the request has a slot already, it is returned with
// true and belongs to the caller.
func (t *Ticket[S]) Cancel() (S, bool) {
	t.queue.cancel(t)
	return t.slot, t.err == nil
}

// Wait returns when the request has a slot, was rejected or ctx ended. A slot
// handed out just before ctx ended is returned and belongs to the caller.
func (t *Ticket[S]) Wait(ctx context.Context) (S, error) {
	select {
	case <-t.done:
	case <-ctx.Done():
		t.queue.cancel(t)
	}
	return t.slot, t.err
}

func (t *Ticket[S]) settle(slot S, err error) {
	t.settled, t.slot, t.err = true, slot, err
	close(t.done)
}
