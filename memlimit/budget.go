// Package memlimit bounds the memory that the buffers of a process use together.
package memlimit

import "sync/atomic"

// Budget is a number of bytes that buffers share. It is safe for concurrent use.
type Budget struct{ left atomic.Int64 }

// NewBudget returns a budget of n bytes.
func NewBudget(n int64) *Budget {
	b := &Budget{}
	b.left.Store(n)
	return b
}

// Reserve takes n bytes if that many are left.
func (b *Budget) Reserve(n int) bool {
	if b.left.Add(-int64(n)) >= 0 {
		return true
	}
	b.left.Add(int64(n))
	return false
}

// Release returns n reserved bytes.
func (b *Budget) Release(n int) { b.left.Add(int64(n)) }

// Left returns the bytes that are not reserved.
func (b *Budget) Left() int64 { return b.left.Load() }
