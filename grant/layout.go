package grant

import "pistachiomount.example/pistachiomount/apipb"

// layout is the list of resources that the renewals of a member follow. Names
// are sent only until the owner has processed one request with them, as they make
// up two thirds of a request.
type layout struct {
	number    uint64 // 0: none is known
	positions []position
}

// position is one resource of a layout and, once it was found, its holding.
type position struct {
	id      ResourceID
	kind    apipb.ResourceKind
	holding *holding
}

// learn replaces the layout by the one in the request, if there is one. It
// reports whether the layout that the request follows is known.
func (l *layout) learn(req *apipb.RenewRequest) bool {
	number := req.GetLayoutNumber()
	if number != 0 && req.GetLayout() != nil && number != l.number {
		l.replace(number, req.GetLayout())
	}
	return number != 0 && number == l.number
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
