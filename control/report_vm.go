package control

// VMReport describes one entry VM as the leader sees it.
type VMReport struct {
	Name          string `json:"name"`
	Incarnation   uint64 `json:"incarnation"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	// Revision is the revision in force on the VM.
	Revision uint64 `json:"revision"`
	// ViewAgeMS is the age of the VM's view at its last heartbeat, in milliseconds.
	ViewAgeMS uint32  `json:"view_age_ms"`
	Load      float64 `json:"load"`
}

// MemberReport describes one control daemon.
type MemberReport struct {
	ID            string `json:"id"`
	Name          string `json:"name"`
	RPCAddress    string `json:"rpc_address"`
	HTTPAddress   string `json:"http_address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Voter         bool   `json:"voter"`
	Leader        bool   `json:"leader"`
}
