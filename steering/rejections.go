package steering

import "time"

const (
	// sheddingThreshold is the fraction of rejected responses above which a region sheds
	// load. Ejection handles single upstreams that shed load.
	sheddingThreshold = 0.05
	// rejectionRatioTime is the time constant of that fraction.
	rejectionRatioTime = 2 * time.Second
	// sheddingLoad is the load assumed for a region that sheds load, relative to the watermark.
	sheddingLoad = 1.2
	// minRejectionSamples responses in one sample are needed for rejections to change the
	// ratio, so that one rejection among few requests does not count.
	minRejectionSamples = 5
)

// rejections measures the fraction of requests that a region rejects. Pool.mu guards it.
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

// shedding updates the rejection ratio from the responses counted since its last
// update and reports whether the region sheds load.
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
