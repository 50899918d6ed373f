package responsehead

// scanner finds the status lines of interim responses and of the response behind them in a stream of bytes.
type scanner struct {
	line [checkedBytes]byte
	// checked is the number of bytes of the status line in line.
	checked int
	// lineBytes counts the bytes of the current line of an interim head, without its end.
	lineBytes int
	// pendingCR is set after a carriage return that may be part of the end of a line.
	pendingCR bool
	// passed is set once the response behind the interim ones has begun.
	passed bool
}

// scan returns the index of the first invalid byte, or -1.
func (s *scanner) scan(p []byte) int {
	for i, b := range p {
		switch {
		case s.passed:
			return -1
		case s.checked < checkedBytes:
			s.line[s.checked] = b
			s.checked++
			if invalidAt(s.line[:s.checked]) >= 0 {
				return i
			}
			s.passed = s.checked == checkedBytes && !isInterim(s.line[:])
			s.lineBytes, s.pendingCR = checkedBytes-1, b == '\r'
			if b == '\n' {
				s.lineBytes = 0
			}
		default:
			s.skip(b)
		}
	}
	return -1
}

// skip follows the lines of an interim head to the empty one that ends it.
func (s *scanner) skip(b byte) {
	switch {
	case b == '\n' && s.lineBytes == 0:
		*s = scanner{}
	case b == '\n':
		s.lineBytes, s.pendingCR = 0, false
	case b == '\r' && !s.pendingCR:
		s.pendingCR = true
	default:
		s.lineBytes++ // a carriage return within a line is one of its bytes
		s.pendingCR = b == '\r'
	}
}
