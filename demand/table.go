package demand

import (
	"math"
	"time"

	"github.com/axiomhq/hyperloglog"
	"github.com/juju/errors"
)

// Errors of reports.
const (
	// ErrSketch: a report holds a sketch that cannot be read.
	ErrSketch = errors.ConstError("invalid sketch of objects")
	// ErrRate: a report holds a number that is negative or not finite.
	ErrRate = errors.ConstError("invalid rate")
)

const (
	// reportTimeout is how long the report of a VM counts: a few renewals.
	reportTimeout = 4 * time.Second
	// summaryInterval is the shortest interval between two summaries.
	summaryInterval = 500 * time.Millisecond
	// minRepeats is the share of repeated requests from which the number of objects is estimated: four
	// times the error of a sketch.
	minRepeats = 0.26
)

// Key identifies a service in a region.
type Key struct{ Service, Region string }

// Table merges the reports of all VMs. It is not safe for concurrent use.
type Table struct {
	reports   map[string]*vmReports
	summary   map[Key]Region
	summaryAt time.Time
}

// vmReports are the latest reports of one VM.
type vmReports struct {
	region   string
	at       time.Time
	services []mergedReport
}

type mergedReport struct {
	Report
	sketch *hyperloglog.Sketch
}

// NewTable returns a table without reports.
func NewTable() *Table { return &Table{reports: map[string]*vmReports{}} }

// Record replaces the reports of a VM.
func (t *Table) Record(now time.Time, vm, region string, reports []Report) error {
	r := &vmReports{region: region, at: now}
	for _, report := range reports {
		if !report.valid() {
			return errors.Annotatef(ErrRate, "VM %s, service %s", vm, report.Service)
		}
		sketch, err := decodeSketch(report.Sketch)
		if err != nil {
			return errors.Annotatef(err, "VM %s, service %s", vm, report.Service)
		}
		r.services = append(r.services, mergedReport{report, sketch})
	}
	t.reports[vm] = r
	return nil
}

// decodeSketch returns a sketch that can be merged with those of all VMs; without data it is empty.
func decodeSketch(raw []byte) (*hyperloglog.Sketch, error) {
	sketch := newWindow().sketch
	if len(raw) == 0 {
		return sketch, nil
	}
	received := newWindow().sketch
	if err := received.UnmarshalBinary(raw); err != nil {
		return nil, errors.Annotate(ErrSketch, err.Error())
	}
	if err := sketch.Merge(received); err != nil { // of another precision
		return nil, errors.Annotate(ErrSketch, err.Error())
	}
	return sketch, nil
}

// Summary returns the demand of each service and region. It must not be modified.
func (t *Table) Summary(now time.Time) map[Key]Region {
	if t.summary != nil && now.Sub(t.summaryAt) < summaryInterval {
		return t.summary
	}
	t.summaryAt = now
	t.summary = map[Key]Region{}
	sketches, requests := map[Key]*hyperloglog.Sketch{}, map[Key]int{}
	for vm, reports := range t.reports {
		if now.Sub(reports.at) > reportTimeout {
			delete(t.reports, vm)
			continue
		}
		for _, r := range reports.services {
			key := Key{r.Service, reports.region}
			total := t.summary[key]
			total.Rate += r.Rate
			total.Running += r.Running
			t.summary[key] = total
			for region, rate := range r.Bound {
				bound := Key{r.Service, region}
				there := t.summary[bound]
				there.Bound += rate
				t.summary[bound] = there
			}
			requests[key] += r.Requests
			if sketches[key] == nil {
				sketches[key] = r.sketch.Clone()
			} else {
				_ = sketches[key].Merge(r.sketch) // all have the same precision
			}
		}
	}
	for key, total := range t.summary {
		if sketches[key] == nil {
			continue // no callers of its own
		}
		total.Objects = estimateObjects(requests[key], sketches[key].Estimate())
		t.summary[key] = total
	}
	return t.summary
}

// bisectionSteps is the number of halvings of the search interval, from the square of a few thousand
// objects to less than one.
const bisectionSteps = 48

// estimateObjects returns the number of equally popular objects for which the given number of requests
// is expected to touch the given number of distinct objects, 0 if too few requests repeat one.
func estimateObjects(requests int, distinct uint64) float64 {
	n, d := float64(requests), float64(distinct)
	if d == 0 || n-d < minRepeats*d {
		return 0
	}
	low, high := d, d*n
	for range bisectionSteps {
		middle := (low + high) / 2
		if middle*(1-math.Exp(-n/middle)) < d {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}
