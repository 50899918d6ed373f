package memlimit

// Reservation is the part of a budget that one buffer holds. It is not safe for concurrent use. Its zero
// value belongs to no budget and grows without limit.
type Reservation struct {
	budget *Budget
	held   int
}

// NewReservation returns a reservation of no bytes.
func NewReservation(b *Budget) Reservation { return Reservation{budget: b} }

// Grow reserves bytes until n are held; it holds no more than before if the budget has too few.
func (r *Reservation) Grow(n int) bool {
	if r.budget == nil || n <= r.held {
		return true
	}
	if !r.budget.Reserve(n - r.held) {
		return false
	}
	r.held = n
	return true
}

// Release returns all bytes to the budget. Further calls have no effect.
func (r *Reservation) Release() {
	if r.budget != nil {
		r.budget.Release(r.held)
		r.held = 0
	}
}
