package steering

import "math/rand/v2"

// RegionOrder yields the regions for one request in order of preference. It is a value
// type. Next draws lazily, so a request that uses the first region costs one draw
// only. The zero value yields nothing. It is not safe for concurrent use.
type RegionOrder struct {
	service  *service
	shares   *shares
	rng      rand.PCG
	tried    uint32
	mayProbe bool
	// lastResort is set when no region was available at the start. Regions are then
	// yielded although their upstreams fail, because a request that may succeed is better
	// than one that cannot.
	lastResort bool
	started    bool
}

// Next returns the pool of the next region. It returns false when there is none left.
// Regions come in random order with probabilities proportional to the shares of those
// not yet yielded.
func (o *RegionOrder) Next() (*Pool, bool) {
	if o.service == nil {
		return nil, false
	}
	if !o.started {
		o.start()
		if p := o.takeProbe(); p != nil {
			return p, true
		}
	}
	for {
		i, ok := o.draw()
		if !ok {
			return nil, false
		}
		o.tried |= 1 << i
		if p := o.service.pools[i].Load(); p != nil && p.hasTargets() {
			return p, true
		}
	}
}

// start excludes regions that are not usable, unless no usable region has a share.
func (o *RegionOrder) start() {
	o.started = true
	var unusable uint32
	available := false
	for i := range o.shares.n {
		p := o.service.pools[i].Load()
		if p == nil || !p.usable() {
			unusable |= 1 << i
		} else if o.shares.effective[i] > 0 {
			available = true
		}
	}
	if available {
		o.tried = unusable
		return
	}
	o.lastResort = true
}

// takeProbe returns the pool of a suspended region that is due for a probe.
func (o *RegionOrder) takeProbe() *Pool {
	if !o.mayProbe || o.lastResort || o.service.suspended.Load() == 0 {
		return nil
	}
	for i := range o.shares.n {
		if o.shares.base[i] <= 0 {
			continue
		}
		if p := o.service.pools[i].Load(); p != nil && p.takeProbe() {
			return p
		}
	}
	return nil
}

// weights returns the shares to draw from.
func (o *RegionOrder) weights() *[MaxRegions]float32 {
	if o.lastResort {
		return &o.shares.base
	}
	return &o.shares.effective
}

// draw picks one of the regions not yet tried, at random by weight.
func (o *RegionOrder) draw() (int, bool) {
	weights := o.weights()
	var total float32
	for i := range o.shares.n {
		if o.tried&(1<<i) == 0 {
			total += weights[i]
		}
	}
	if total <= 0 {
		return 0, false
	}
	at := float32(fraction(o.rng.Uint64())) * total
	last := 0
	for i := range o.shares.n {
		if o.tried&(1<<i) != 0 || weights[i] <= 0 {
			continue
		}
		last = i
		if at -= weights[i]; at < 0 {
			break
		}
	}
	return last, true
}
