package responsehead

import (
	"bufio"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// Read reads the head of the next response that is not an interim one. After an error nothing more may be read as a
// response. A status line that is already invalid is not read to its end.
func Read(br *bufio.Reader, request *http.Request) (*http.Response, error) {
	for {
		if err := peekLine(br); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(br, request)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// peekLine waits for the checked bytes of a status line, or for the first invalid one.
func peekLine(br *bufio.Reader) error {
	for {
		line, err := br.Peek(max(1, min(br.Buffered(), checkedBytes)))
		if invalidAt(line) >= 0 {
			return errors.Annotatef(ErrInvalid, "%q", line)
		}
		if len(line) == checkedBytes {
			return nil
		}
		if err == nil {
			_, err = br.Peek(len(line) + 1)
		}
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
	}
}
