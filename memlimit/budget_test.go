package memlimit_test

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/memlimit"
)

// Guards against buffers that together hold more than the budget, and against bytes that are lost when a
// buffer cannot grow or is released twice.
func TestReservationsStayWithinTheBudget(t *testing.T) {
	is := is.New(t)
	budget := memlimit.NewBudget(100)
	a, b := memlimit.NewReservation(budget), memlimit.NewReservation(budget)
	is.True(a.Grow(60))
	is.True(!b.Grow(41))
	is.True(b.Grow(40))
	is.True(!a.Grow(61))
	is.True(a.Grow(10)) // holds more already
	is.Equal(budget.Left(), int64(0))
	a.Release()
	a.Release()
	is.Equal(budget.Left(), int64(60))
	b.Release()
	is.Equal(budget.Left(), int64(100))
}

// Guards against concurrent reservations that exceed the budget.
func TestBudgetIsSafeForConcurrentUse(t *testing.T) {
	is := is.New(t)
	budget := memlimit.NewBudget(10)
	var users sync.WaitGroup
	for range 8 {
		users.Go(func() {
			for range 1000 {
				if budget.Reserve(3) {
					budget.Release(3)
				}
			}
		})
	}
	users.Wait()
	is.Equal(budget.Left(), int64(10))
}
