package document

// Region is a location with upstreams and entry VMs, divided into failure domains.
type Region struct {
	Name           string   `yaml:"name"`
	FailureDomains []string `yaml:"failure_domains"`
}
