package control

// InitReport is the response to POST /v1/init.
type InitReport struct {
	ClusterID string `json:"cluster_id"`
}

// SubmitReport is the response to a submitted document.
type SubmitReport struct {
	// Status is accepted, conflict, not_in_trial or invalid.
	Status   string `json:"status"`
	Number   uint64 `json:"number"`
	Digest   string `json:"digest"`
	Revision uint64 `json:"revision,omitempty"`
	// Repeated reports that the same document was accepted before.
	Repeated      bool   `json:"repeated,omitempty"`
	NumberInForce uint64 `json:"number_in_force"`
	DigestInForce string `json:"digest_in_force"`
	Message       string `json:"message,omitempty"`
}
