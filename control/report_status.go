package control

// StatusReport is the response to GET /v1/status, as the leader sees the group.
type StatusReport struct {
	ClusterID    string                       `json:"cluster_id"`
	Leader       string                       `json:"leader"`
	Term         uint64                       `json:"term"`
	Members      []MemberReport               `json:"members"`
	Environments map[string]EnvironmentReport `json:"environments"`
}

// EnvironmentReport describes the document in force in an environment and its VMs.
type EnvironmentReport struct {
	Number   uint64     `json:"number"`
	Digest   string     `json:"digest"`
	Revision uint64     `json:"revision"`
	Queued   int        `json:"jobs_queued"`
	VMs      []VMReport `json:"vms"`
}
