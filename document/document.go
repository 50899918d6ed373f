package document

// Document is a decoded and validated steering document.
type Document struct {
	// Deployment is the name of the installation. Control daemons accept only
	// documents of their own deployment.
	Deployment string `yaml:"deployment"`
	// Number orders the documents of an environment; it increases with each one.
	Number       uint64         `yaml:"number"`
	Regions      []Region       `yaml:"regions"`
	Links        []Link         `yaml:"links"`
	Services     []Service      `yaml:"services"`
	Steering     []SteeringRule `yaml:"steering"`
	Shift        ShiftLimits    `yaml:"shift"`
	Customers    []Customer     `yaml:"customers"`
	ClientBlocks []ClientBlock  `yaml:"client_blocks"`
	Drains       []Drain        `yaml:"drains"`
}
