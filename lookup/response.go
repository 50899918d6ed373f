package lookup

import (
	"time"

	"pistachiomount.example/pistachiomount/apipb"
)

// Response is the body of a lookup response as callers see it.
type Response struct {
	TTLMillis int64     `json:"ttl_ms"`
	EntryVMs  []EntryVM `json:"entry_vms"`
}

// EntryVM is one entry VM in a lookup response, most preferred first.
type EntryVM struct {
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
}

// NewResponse returns the response for a ranked answer. The list is never null,
// so that callers can iterate it when no VM serves.
func NewResponse(answer []*apipb.Vm) Response {
	r := Response{TTLMillis: int64(TTL / time.Millisecond), EntryVMs: make([]EntryVM, 0, len(answer))}
	for _, vm := range answer {
		r.EntryVMs = append(r.EntryVMs, EntryVM{
			Address: vm.GetAddress(), Region: vm.GetRegion(), FailureDomain: vm.GetFailureDomain(),
		})
	}
	return r
}
