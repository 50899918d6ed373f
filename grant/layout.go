package grant

import "pistachiomount.example/pistachiomount/apipb"

// layout is the list of resources that the columns of a member's renewals refer to. The names
// make up two thirds of a full request; brief requests leave them out.
type layout struct {
	number    uint64 // 0 if no layout is known
	positions []position
}

// position is one resource of a layout with its holding, once that was looked up.
type position struct {
	id      ResourceID
	kind    apipb.ResourceKind
	holding *holding
	// granted is the share in the last reply, which a brief request refers to. After a lease
	// expired it differs from what the holding counts.
	granted portion
}

// update adopts the layout of a full request and clears the granted shares.
func (l *layout) update(req *apipb.RenewRequest) {
	if req.GetLayoutNumber() != l.number {
		l.replace(req.GetLayoutNumber(), req.GetLayout())
	}
	for i := range l.positions {
		l.positions[i].granted = portion{}
	}
}

func (l *layout) replace(number uint64, names *apipb.Layout) {
	l.number = number
	l.positions = make([]position, 0, len(names.GetRates())+len(names.GetUnits()))
	for _, name := range names.GetRates() {
		l.positions = append(l.positions, position{id: ResourceID(name)})
	}
	for _, name := range names.GetUnits() {
		l.positions = append(l.positions, position{id: ResourceID(name), kind: apipb.ResourceKind_RESOURCE_KIND_UNITS})
	}
}
