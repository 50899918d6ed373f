package grant

import "pistachiomount.example/pistachiomount/apipb"

// layout is the list of resources that the renewals of a member follow. Their
// names are two thirds of a full request and are not repeated in brief ones.
type layout struct {
	number    uint64 // 0: none is known
	positions []position
}

// position is one resource of a layout and, once it was found, its holding.
type position struct {
	id      ResourceID
	kind    apipb.ResourceKind
	holding *holding
	// granted is the share in the last reply, which a brief request refers to. It
	// differs from what the holding counts after a lease lapsed.
	granted portion
}

// update takes over the layout of a full request.
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
