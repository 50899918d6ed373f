package egress

import (
	"io"
	"net/http"
)

// Reply is what an exchange led to.
type Reply struct {
	Outcome Outcome
	Status  int
	Header  http.Header
	// Body is the whole body, or its beginning if Rest is set.
	Body []byte
	// Rest is what follows Body of a long body. It must be closed.
	Rest   io.ReadCloser
	Length int64
	// Load is the upstream's report, if Reported.
	Load         Load
	LoadReported bool
	// Misdirected says that another upstream has the address.
	Misdirected bool
	// Unreachable says that no connection could be made.
	Unreachable bool
	// Err tells what went wrong, if the outcome is not Answered.
	Err error
}
