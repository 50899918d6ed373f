package grant

// appendRun appends a position to a run-length encoding of which positions are listed. Runs of
// listed and omitted positions alternate; the first run is of listed ones and may be empty.
func appendRun(runs []uint32, listed bool) []uint32 {
	lastListed := len(runs)%2 == 1
	switch {
	case len(runs) == 0 && !listed:
		return append(runs, 0, 1)
	case len(runs) > 0 && lastListed == listed:
		runs[len(runs)-1]++
		return runs
	}
	return append(runs, 1)
}

// runReader decodes what appendRun wrote, position by position.
type runReader struct {
	runs      []uint32
	remaining uint32
	listed    bool
}

func newRunReader(runs []uint32) runReader { return runReader{runs: runs} }

// next reports whether the next position is listed.
func (r *runReader) next() bool {
	for r.remaining == 0 {
		if len(r.runs) == 0 {
			return false
		}
		r.remaining, r.runs, r.listed = r.runs[0], r.runs[1:], !r.listed
	}
	r.remaining--
	return r.listed
}

// done reports whether all positions were read.
func (r *runReader) done() bool { return r.remaining == 0 && len(r.runs) == 0 }

// columnReader reads the values of one column of a message.
type columnReader[T any] struct {
	values []T
	short  bool // more values were read than the column has
}

func newColumnReader[T any](values []T) columnReader[T] { return columnReader[T]{values: values} }

func (c *columnReader[T]) next() (v T) {
	if len(c.values) == 0 {
		c.short = true
		return v
	}
	v, c.values = c.values[0], c.values[1:]
	return v
}

// done reports whether exactly the values of the column were read.
func (c *columnReader[T]) done() bool { return !c.short && len(c.values) == 0 }
