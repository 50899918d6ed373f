package announce

import (
	"math"
	"time"

	"pistachiomount.example/pistachiomount/apipb"
)

// EncodeNotices converts notices for a message: MaxNotices at most, with ages in place of times, as the
// clocks of VMs differ.
func EncodeNotices(now time.Time, notices []Notice) []*apipb.UpstreamNotice {
	var encoded []*apipb.UpstreamNotice
	for _, n := range notices[:min(len(notices), MaxNotices)] {
		encoded = append(encoded, &apipb.UpstreamNotice{
			Upstream: n.Upstream, RateLimit: float32(n.RateLimit), LimitedAge: encodeAge(now, n.LimitedAt),
			UnlimitedAge: encodeAge(now, n.UnlimitedAt), LeavingAge: encodeAge(now, n.LeavingSince),
			Pace:          float32(n.Pace),
			RejectionRate: float32(n.RejectionRate),
		})
	}
	return encoded
}

// DecodeNotices converts the notices of a message, without those that hold an invalid rate.
func DecodeNotices(now time.Time, encoded []*apipb.UpstreamNotice) []Notice {
	var notices []Notice
	for _, n := range encoded {
		rate := float64(n.RateLimit)
		if !(rate >= 0) || math.IsInf(rate, 1) {
			continue
		}
		notices = append(notices, Notice{
			Upstream: n.Upstream, RateLimit: rate, LimitedAt: decodeAge(now, n.LimitedAge),
			UnlimitedAt: decodeAge(now, n.UnlimitedAge), LeavingSince: decodeAge(now, n.LeavingAge),
			Pace:          decodePace(n.Pace),
			RejectionRate: decodeRejectionRate(n.RejectionRate),
		})
	}
	return notices
}

// decodeRejectionRate returns 0 for a value that is no part of requests. The rest of its notice counts.
func decodeRejectionRate(rate float32) float64 {
	if !(rate >= 0 && rate <= 1) {
		return 0
	}
	return float64(rate)
}

// encodeAge returns the milliseconds since a time plus one, 0 for the zero time.
func encodeAge(now, at time.Time) uint32 {
	if at.IsZero() {
		return 0
	}
	return uint32(min(max(now.Sub(at).Milliseconds(), 0)+1, math.MaxUint32))
}

func decodeAge(now time.Time, age uint32) time.Time {
	if age == 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(age-1) * time.Millisecond)
}

// decodePace returns a progress from 0 to 1, and 0 for an invalid one.
func decodePace(pace float32) float64 {
	if !(pace > 0) {
		return 0
	}
	return min(float64(pace), 1)
}
