package ratetokens

import (
	"math"
	"slices"
	"time"
)

// Stock holds the tokens of one customer's rate that a VM has taken in advance. It is not safe for
// concurrent use.
type Stock struct {
	lots     []Lot // the oldest first
	arrivals arrivalRate
	calling  bool
	// deniedUntil is until when the owner is not asked again. exhausted is set until it grants tokens again.
	deniedUntil time.Time
	exhausted   bool
}

// RecordArrival counts a request that needs a token.
func (s *Stock) RecordArrival(now time.Time) { s.arrivals.record(now) }

// Take takes one token, of those that expire first.
func (s *Stock) Take(now time.Time) (Lot, bool) {
	for i := range s.lots {
		if !now.Before(s.lots[i].Expires) {
			continue
		}
		taken := s.lots[i]
		taken.Count = 1
		if s.lots[i].Count--; s.lots[i].Count == 0 {
			s.lots = slices.Delete(s.lots, i, i+1)
		}
		return taken, true
	}
	return Lot{}, false
}

// Add adds the tokens of a reply, which expire Lifetime after they were requested: the owner may have granted them at once.
func (s *Stock) Add(requested time.Time, source string, epoch uint64, count int) {
	s.exhausted = false
	s.Return(Lot{Source: source, Epoch: epoch, Count: count, Expires: requested.Add(Lifetime)})
}

// Return puts back a token of a request that was sent to no upstream.
func (s *Stock) Return(lot Lot) {
	if lot.Count > 0 {
		s.lots = append(s.lots, lot)
	}
}

// RemoveExpired removes the tokens that have expired. The caller returns them to their sources.
func (s *Stock) RemoveExpired(now time.Time) []Lot {
	var expired []Lot
	kept := s.lots[:0]
	for _, lot := range s.lots {
		if now.Before(lot.Expires) {
			kept = append(kept, lot)
		} else {
			expired = append(expired, lot)
		}
	}
	s.lots = kept
	return expired
}

// NextExpiry returns when the next tokens expire; zero if there are none.
func (s *Stock) NextExpiry() time.Time {
	var next time.Time
	for _, lot := range s.lots {
		if next.IsZero() || lot.Expires.Before(next) {
			next = lot.Expires
		}
	}
	return next
}

// BeginCall returns how many tokens to request from the owner now, for the requests that wait and for the
// expected ones; 0 if no call is needed or one is under way. EndCall must follow a call.
func (s *Stock) BeginCall(now time.Time, waiting int) int {
	if s.calling || now.Before(s.deniedUntil) {
		return 0
	}
	target, held := s.target(now), s.held(now)
	if waiting == 0 && 2*held >= target {
		return 0
	}
	count := waiting
	if !s.exhausted { // tokens for expected requests would count as demand each time that they are denied
		count += max(target-held, 0)
	}
	s.calling = count > 0
	return count
}

// EndCall records that the call has ended.
func (s *Stock) EndCall() { s.calling = false }

// Calling reports whether a call is under way.
func (s *Stock) Calling() bool { return s.calling }

// Deny records that the owner had no token, and may have one after the given time.
func (s *Stock) Deny(now time.Time, wait time.Duration) {
	s.exhausted = true
	s.deniedUntil = now.Add(min(max(wait, minDenial), maxDenial))
}

// Denied reports whether a request without a token is rejected without a call, and the time until the owner
// is asked again.
func (s *Stock) Denied(now time.Time) (time.Duration, bool) {
	return s.deniedUntil.Sub(now), now.Before(s.deniedUntil)
}

// target is how many tokens cover the expected requests of Cover.
func (s *Stock) target(now time.Time) int {
	return int(math.Round(s.arrivals.at(now) * Cover.Seconds()))
}

func (s *Stock) held(now time.Time) int {
	held := 0
	for _, lot := range s.lots {
		if now.Before(lot.Expires) {
			held += lot.Count
		}
	}
	return held
}
