package document

// Document is a decoded and checked steering document.
type Document struct {
	// Deployment names the installation; control daemons accept only their own.
	Deployment string `yaml:"deployment"`
	// Number orders the documents of an environment.
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
