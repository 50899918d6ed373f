package responsehead

import (
	"net/http"

	"github.com/juju/errors"
)

// checkedBytes is the length of the version, a blank, the status and the byte that ends it.
const checkedBytes = len("HTTP/1.1 200 ")

// invalidAt checks the beginning of a status line, whole or not, and returns the index of the first byte that no
// valid status line has there, or -1.
func invalidAt(line []byte) int {
	for i, b := range line[:min(len(line), checkedBytes)] {
		if !validByte(line, i, b) {
			return i
		}
	}
	return -1
}

func validByte(line []byte, i int, b byte) bool {
	const version = "HTTP/1."
	switch {
	case i < len(version):
		return b == version[i]
	case i == len(version):
		return b == '0' || b == '1'
	case i == 8:
		return b == ' '
	case i == 9:
		return '1' <= b && b <= '5'
	case i == 11:
		return isDigit(b) && (string(line[9:11]) != "10" || b != '1')
	case i < checkedBytes-1:
		return isDigit(b)
	}
	return b == ' ' || b == '\r' || b == '\n'
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isInterim reports whether a valid status line is that of an interim response.
func isInterim(line []byte) bool { return line[9] == '1' }

// Check returns ErrInvalid, and closes the body, if a response of net/http's client has an invalid status line. Conn does not
// check bytes that net/http read together with the response before.
func Check(response *http.Response) error {
	line := response.Proto + " " + response.Status + "\n"
	if invalidAt([]byte(line)) < 0 {
		return nil
	}
	_ = response.Body.Close() // the response is dropped, so an error on close has no effect
	return errors.Annotatef(ErrInvalid, "%q", line[:min(len(line), checkedBytes)])
}
