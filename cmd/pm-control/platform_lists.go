package main

import (
	"sync/atomic"

	"pistachiomount.example/pistachiomount/inventory"
)

// platformLists holds the latest lists that the poller fetched from the platform.
type platformLists struct {
	upstreams atomic.Pointer[[]inventory.Upstream]
	vms       atomic.Pointer[[]inventory.VM]
}

func (l *platformLists) setUpstreams(list inventory.List[inventory.Upstream]) {
	l.upstreams.Store(&list.Entries)
}

func (l *platformLists) setVMs(list inventory.List[inventory.VM]) { l.vms.Store(&list.Entries) }

// Upstreams returns the latest list of upstreams; it is empty until the first fetch.
func (l *platformLists) Upstreams() []inventory.Upstream { return loadList(&l.upstreams) }

// VMs returns the latest list of VMs; it is empty until the first fetch.
func (l *platformLists) VMs() []inventory.VM { return loadList(&l.vms) }

func loadList[T any](p *atomic.Pointer[[]T]) []T {
	if list := p.Load(); list != nil {
		return *list
	}
	return nil
}
