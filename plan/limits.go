package plan

import "time"

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int           `json:"maxHeaderBytes"`
	MaxBodyBytes   int64         `json:"maxBodyBytes"`
	HeaderTimeout  time.Duration `json:"headerTimeout"`
	IdleTimeout    time.Duration `json:"idleTimeout"`
}
