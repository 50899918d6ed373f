package egress

import (
	"io"
	"net/http"

	"pistachiomount.example/pistachiomount/announce"
	"pistachiomount.example/pistachiomount/memlimit"
)

// Reply is the result of an exchange.
type Reply struct {
	Outcome Outcome
	Status  int
	Header  http.Header
	// Body is the complete body, or its beginning if Rest is set.
	Body []byte
	// Rest is the remainder of a long body. It must be closed.
	Rest io.ReadCloser
	// Length is the length of the complete body if Rest is set, -1 if unknown.
	Length int64
	// Load is the load that the upstream reported; valid only if LoadReported is set.
	Load         Load
	LoadReported bool
	// Announced is what the head of the response says about the upstream.
	Announced announce.Announcement
	// Misdirected is set if the address belongs to another upstream by now.
	Misdirected bool
	// Unreachable is set if no connection could be established or nothing could be sent.
	Unreachable bool
	// Abandoned is set if the request ended before a connection could be established. It says little about
	// the upstream.
	Abandoned bool
	// Withheld is set if the call was withheld by its Withhold function.
	Withheld bool
	// Endless is set if the response had no end: its head exceeded the limit, or its body lasted until
	// the deadline.
	Endless bool
	// SendErr is why the request was not sent in full, although a response may have arrived.
	SendErr error
	// Err is the reason why the outcome is not Answered.
	Err error

	buffer memlimit.Reservation
}

// Streamed reports whether Rest is a body that is passed on while it arrives.
func (r *Reply) Streamed() bool {
	_, ok := r.Rest.(*streamedBody)
	return ok
}

// WhenStreamed calls f once a streamed body was read to its end, failed or was closed: before the reader of Rest
// sees the end.
func (r *Reply) WhenStreamed(f func(StreamEnd)) {
	if body, ok := r.Rest.(*streamedBody); ok {
		body.whenEnded(f)
	}
}

// Release drops the body and returns its memory to the budget of the pool.
func (r *Reply) Release() {
	r.Body = nil
	r.buffer.Release()
}

// Discard ends the use of a reply that is not passed on.
func (r *Reply) Discard() {
	if r.Rest != nil {
		_ = r.Rest.Close() // its end is of no interest any more
		r.Rest = nil
	}
	r.Release()
}
