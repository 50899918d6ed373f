package document

// Customer is one whose callers show its keys.
type Customer struct {
	Name string `yaml:"name"`
	// Rate is the fleet-wide limit in requests per second.
	Rate float64 `yaml:"rate"`
	// Burst is the fleet-wide number of requests admitted at once.
	Burst float64 `yaml:"burst"`
	// Weight is the share of queues relative to other customers; 1 by default.
	Weight float64 `yaml:"weight"`
	// Services are the ones this customer may reach.
	Services []string `yaml:"services"`
	Keys     []Key    `yaml:"keys"`
}

// AllowsService reports whether the customer may reach the service.
func (c *Customer) AllowsService(name string) bool {
	for _, s := range c.Services {
		if s == name {
			return true
		}
	}
	return false
}
