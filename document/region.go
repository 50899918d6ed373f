package document

// Region is a place with upstreams and entry VMs.
type Region struct {
	Name           string   `yaml:"name"`
	FailureDomains []string `yaml:"failure_domains"`
}
