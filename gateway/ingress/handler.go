package ingress

import "context"

// Handler answers requests. The context of a request ends when its caller has gone.
type Handler interface {
	Serve(ctx context.Context, request *Request) *Response
}
