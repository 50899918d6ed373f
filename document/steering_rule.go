package document

// Wildcard matches every customer or every caller region in a steering rule.
const Wildcard = "*"

// WeightSum is the required sum of the weights of a steering rule.
const WeightSum = 100

// SteeringRule determines which regions serve the requests of a service. The most
// specific matching rule applies: one for the customer and region, then one for the
// customer, then one for the region.
type SteeringRule struct {
	Service  string `yaml:"service"`
	Customer string `yaml:"customer"`
	// From is the region in which callers enter.
	From string `yaml:"from"`
	// Weights are percentages by region.
	Weights map[string]uint32 `yaml:"weights"`
}
