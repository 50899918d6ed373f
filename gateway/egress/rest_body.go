package egress

import "io"

// restBody reads the remainder of a long response, until the deadline of the request or the end of
// its context. Its connection is not reused.
type restBody struct {
	body io.ReadCloser
	conn *upstreamConn
	// stopWatch ends the watch that closes the connection with the context.
	stopWatch func() bool
}

func (b *restBody) Read(p []byte) (int, error) { return b.body.Read(p) }

func (b *restBody) Close() error {
	b.stopWatch()
	return b.conn.nc.Close()
}
