package lookup

import (
	"time"

	"pistachiomount.example/pistachiomount/apipb"
)

// Response is the JSON body of a lookup response, with the preferred VM first.
type Response struct {
	TTLMillis int64     `json:"ttl_ms"`
	EntryVMs  []EntryVM `json:"entry_vms"`
}

// EntryVM is one entry VM in a lookup response.
type EntryVM struct {
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
}

// NewResponse returns the response for a ranked answer. The list of VMs is never
// null in JSON, so that callers can iterate over an empty answer.
func NewResponse(answer []*apipb.Vm) Response {
	r := Response{TTLMillis: int64(TTL / time.Millisecond), EntryVMs: make([]EntryVM, 0, len(answer))}
	for _, vm := range answer {
		r.EntryVMs = append(r.EntryVMs, EntryVM{
			Address: vm.GetAddress(), Region: vm.GetRegion(), FailureDomain: vm.GetFailureDomain(),
		})
	}
	return r
}
