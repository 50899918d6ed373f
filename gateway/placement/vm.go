package placement

// VM is an entry VM of the fleet.
type VM struct {
	Name, Region string
}
