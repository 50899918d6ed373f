package control

// StatusReport answers GET /v1/status, as the leader sees it.
type StatusReport struct {
	ClusterID    string                       `json:"cluster_id"`
	Leader       string                       `json:"leader"`
	Term         uint64                       `json:"term"`
	Members      []MemberReport               `json:"members"`
	Environments map[string]EnvironmentReport `json:"environments"`
}

// EnvironmentReport tells what is in force in an environment and where.
type EnvironmentReport struct {
	Number   uint64     `json:"number"`
	Digest   string     `json:"digest"`
	Revision uint64     `json:"revision"`
	Queued   int        `json:"jobs_queued"`
	VMs      []VMReport `json:"vms"`
}
