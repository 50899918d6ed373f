package plan

import "time"

// Limits bounds the size of requests and the time that callers may take.
type Limits struct {
	MaxHeaderBytes int           `json:"maxHeaderBytes"`
	MaxBodyBytes   int64         `json:"maxBodyBytes"`
	HeaderTimeout  time.Duration `json:"headerTimeout"`
	IdleTimeout    time.Duration `json:"idleTimeout"`
}
