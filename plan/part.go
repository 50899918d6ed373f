package plan

// WeightedService is one service of a split route.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}
