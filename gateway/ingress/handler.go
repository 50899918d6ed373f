package ingress

import "context"

// Handler answers one request. The context ends when the caller has gone.
type Handler interface {
	Serve(ctx context.Context, request *Request) *Response
}
