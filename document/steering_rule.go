package document

// Wildcard stands for every customer or every caller region in a steering rule.
const Wildcard = "*"

// WeightSum is what the weights of a steering rule add up to.
const WeightSum = 100

// SteeringRule says which regions serve the requests of a service. The most
// specific rule applies: customer and region, then customer, then region.
type SteeringRule struct {
	Service  string `yaml:"service"`
	Customer string `yaml:"customer"`
	// From is the region in which callers enter.
	From string `yaml:"from"`
	// Weights are percentages by region.
	Weights map[string]uint32 `yaml:"weights"`
}
