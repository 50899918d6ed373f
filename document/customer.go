package document

// Customer is a customer with its limits, its services and the keys that its
// callers send.
type Customer struct {
	Name string `yaml:"name"`
	// Rate is the fleet-wide limit in requests per second.
	Rate float64 `yaml:"rate"`
	// Burst is the fleet-wide number of requests that may be admitted at once.
	Burst float64 `yaml:"burst"`
	// Weight is the customer's share of queues relative to other customers. The
	// default is 1.
	Weight float64 `yaml:"weight"`
	// Services are the names of the services that the customer may use.
	Services []string `yaml:"services"`
	Keys     []Key    `yaml:"keys"`
}

// AllowsService reports whether the customer may use the service.
func (c *Customer) AllowsService(name string) bool {
	for _, s := range c.Services {
		if s == name {
			return true
		}
	}
	return false
}
