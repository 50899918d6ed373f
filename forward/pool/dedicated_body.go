package pool

import "io"

// dedicatedBody is the response body of a request on a connection of its own. Closing it also
// closes the connection: the transport would do so later, on another goroutine, and the permit
// of the connection would stay in use after the request.
type dedicatedBody struct {
	io.ReadCloser
	conn *conn
}

// Close closes the body and the connection.
func (b *dedicatedBody) Close() error {
	err := b.ReadCloser.Close()
	_ = b.conn.Close() // the response was read or given up, so an error on close has no effect
	return err
}
