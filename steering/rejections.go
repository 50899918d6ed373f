package steering

import "time"

const (
	// sheddingThreshold of the responses being rejections means that a region sheds
	// load. Single upstreams that shed are handled by ejection.
	sheddingThreshold = 0.05
	// rejectionRatioTime is the time constant of that part.
	rejectionRatioTime = 2 * time.Second
	// sheddingLoad is the load that a region that sheds is taken to have, relative
	// to the watermark.
	sheddingLoad = 1.2
	// minRejectionSamples in one tick are needed to change the part, so that one
	// rejection among few requests does not count.
	minRejectionSamples = 5
)

// rejections measures how much load a region sheds. Pool.mu guards it.
type rejections struct {
	answered int
	rejected int
	ratio    float64
}

func (r *rejections) count(result Result) {
	switch result {
	case Success:
		r.answered++
	case Rejected:
		r.answered++
		r.rejected++
	}
}

// shedding takes over the counts since the last call that had enough of them and
// reports whether the region sheds load.
func (p *Pool) shedding(dt time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &p.rejections
	sample := 0.0
	if r.answered > 0 {
		sample = float64(r.rejected) / float64(r.answered)
	}
	if r.answered >= minRejectionSamples || r.rejected == 0 {
		r.ratio += (sample - r.ratio) * smoothingFactor(dt, rejectionRatioTime)
		r.answered, r.rejected = 0, 0
	}
	return r.ratio > sheddingThreshold
}
