package egress

import (
	"io"

	"github.com/juju/errors"
)

// cutBody is a body that ends with its connection, which has failed. What was received before can be read, but is not
// the whole body.
type cutBody struct {
	io.ReadCloser
	// failure is the error with which the connection failed.
	failure error
}

// Read implements io.Reader.
func (b *cutBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = errors.Annotate(ErrBroken, b.failure.Error())
	}
	return n, err
}
