package plan

// WeightedService is one service of a route and its share of the requests.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}
