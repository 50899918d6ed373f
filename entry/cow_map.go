package entry

import (
	"maps"
	"sync"
	"sync/atomic"
)

// cowMap is a copy-on-write map for many reads and few changes. Unlike sync.Map, a
// read does not allocate to box its key.
type cowMap[K comparable, V any] struct {
	mu      sync.Mutex // serializes changes
	current atomic.Pointer[map[K]V]
}

// load returns the value for the key.
func (m *cowMap[K, V]) load(key K) (V, bool) {
	if current := m.current.Load(); current != nil {
		v, ok := (*current)[key]
		return v, ok
	}
	var zero V
	return zero, false
}

// loadOrCreate returns the value for the key and creates it if there is none.
func (m *cowMap[K, V]) loadOrCreate(key K, create func(K) V) V {
	if v, ok := m.load(key); ok {
		return v
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if v, ok := m.load(key); ok {
		return v
	}
	v := create(key)
	m.replace(func(next map[K]V) { next[key] = v })
	return v
}

// store sets the value for the key.
func (m *cowMap[K, V]) store(key K, v V) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.replace(func(next map[K]V) { next[key] = v })
}

// remove deletes the key and returns its value.
func (m *cowMap[K, V]) remove(key K) (V, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, ok := m.load(key)
	if ok {
		m.replace(func(next map[K]V) { delete(next, key) })
	}
	return v, ok
}

// keys returns the keys in no particular order.
func (m *cowMap[K, V]) keys() []K {
	current := m.current.Load()
	if current == nil {
		return nil
	}
	out := make([]K, 0, len(*current))
	for k := range *current {
		out = append(out, k)
	}
	return out
}

func (m *cowMap[K, V]) replace(change func(map[K]V)) {
	next := map[K]V{}
	if current := m.current.Load(); current != nil {
		next = maps.Clone(*current)
	}
	change(next)
	m.current.Store(&next)
}
