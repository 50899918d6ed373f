package announce

import (
	"slices"
	"time"
)

const (
	// MaxNotices limits the notices of one message, which has 35 bytes for each.
	MaxNotices = 64
	// reportTimeout is how long the notices of a VM count: a few renewals.
	reportTimeout = 4 * time.Second
	// summaryInterval is the shortest interval between two summaries.
	summaryInterval = 250 * time.Millisecond
)

// Board merges the notices of all VMs. It is not safe for concurrent use.
type Board struct {
	reports   map[string]vmNotices
	summary   []Notice
	summaryAt time.Time
}

type vmNotices struct {
	at      time.Time
	notices []Notice
}

// NewBoard returns a board without notices.
func NewBoard() *Board { return &Board{reports: map[string]vmNotices{}} }

// Record replaces the notices of a VM.
func (b *Board) Record(now time.Time, vm string, notices []Notice) {
	if len(notices) == 0 {
		delete(b.reports, vm)
		return
	}
	b.reports[vm] = vmNotices{now, notices[:min(len(notices), MaxNotices)]}
}

// Summary returns the merged notices, the latest first and MaxNotices at most. It must not be modified.
func (b *Board) Summary(now time.Time) []Notice {
	if !b.summaryAt.IsZero() && now.Sub(b.summaryAt) < summaryInterval {
		return b.summary
	}
	b.summaryAt = now
	merged := map[string]Notice{}
	for vm, report := range b.reports {
		if now.Sub(report.at) > reportTimeout {
			delete(b.reports, vm)
			continue
		}
		for _, n := range report.notices {
			if known, found := merged[n.Upstream]; found {
				n = known.Merge(n)
			}
			merged[n.Upstream] = n
		}
	}
	b.summary = latestNotices(merged)
	return b.summary
}

// latestNotices returns the latest MaxNotices of the notices.
func latestNotices(notices map[string]Notice) []Notice {
	list := make([]Notice, 0, len(notices))
	for _, n := range notices {
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b Notice) int { return b.latest().Compare(a.latest()) })
	return list[:min(len(list), MaxNotices)]
}
