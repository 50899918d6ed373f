package main

import (
	"sync/atomic"

	"pistachiomount.example/pistachiomount/platform"
)

// platformLists holds the platform's newest lists.
type platformLists struct {
	upstreams atomic.Pointer[[]platform.Upstream]
	vms       atomic.Pointer[[]platform.VM]
}

func (l *platformLists) setUpstreams(list platform.List[platform.Upstream]) {
	l.upstreams.Store(&list.Entries)
}

func (l *platformLists) setVMs(list platform.List[platform.VM]) { l.vms.Store(&list.Entries) }

// Upstreams returns the newest list, empty before the first.
func (l *platformLists) Upstreams() []platform.Upstream { return valueOf(&l.upstreams) }

// VMs returns the newest list, empty before the first.
func (l *platformLists) VMs() []platform.VM { return valueOf(&l.vms) }

func valueOf[T any](p *atomic.Pointer[[]T]) []T {
	if list := p.Load(); list != nil {
		return *list
	}
	return nil
}
