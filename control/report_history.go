package control

// HistoryReport is the response to GET /v1/environments/{env}/history, newest first.
type HistoryReport struct {
	Documents []HistoryItem `json:"documents"`
}

// HistoryItem is one accepted document.
type HistoryItem struct {
	Number     uint64 `json:"number"`
	Digest     string `json:"digest"`
	Revision   uint64 `json:"revision"`
	AcceptedMS int64  `json:"accepted_ms"`
	Operator   string `json:"operator"`
}
