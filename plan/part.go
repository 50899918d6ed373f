package plan

// Part is one service of a split route.
type Part struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}
