package announce

import (
	"slices"
	"time"
)

const (
	// MaxNotices limits the notices of one message, which has 45 bytes for each.
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
	b.reports[vm] = vmNotices{now, MostImportant(notices)}
}

// Summary returns the merged notices, the most important first and MaxNotices at most. It must not be modified.
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
	list := make([]Notice, 0, len(merged))
	for _, n := range merged {
		list = append(list, n)
	}
	b.summary = MostImportant(list)
	return b.summary
}

// MostImportant sorts notices by their importance and returns at most MaxNotices of them.
func MostImportant(notices []Notice) []Notice {
	slices.SortFunc(notices, Notice.compare)
	return notices[:min(len(notices), MaxNotices)]
}
