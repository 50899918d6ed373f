package grant

import (
	"math"

	"pistachiomount.example/pistachiomount/apipb"
)

// wantedStepsPerUnit is the resolution of wanted units on the wire.
const wantedStepsPerUnit = 16

// report is what a holder reports for one position of its layout.
type report struct {
	held   portion
	used   uint32
	demand float64
}

// writeReport appends one position to the columns of a request. The held amounts came from
// float32 values, so they are written exactly; they are left out if they equal known.
func writeReport(req *apipb.RenewRequest, kind apipb.ResourceKind, r report, known portion) {
	units := kind == apipb.ResourceKind_RESOURCE_KIND_UNITS
	held, use := r.held != known, r.used > 0 || r.demand > 0
	req.HeldRuns, req.UseRuns = appendRun(req.HeldRuns, held), appendRun(req.UseRuns, use)
	switch {
	case held && units:
		req.HeldUnits = append(req.HeldUnits, r.held.units)
	case held:
		req.HeldRate = append(req.HeldRate, float32(r.held.rate))
		req.HeldDepth = append(req.HeldDepth, float32(r.held.depth))
	}
	switch {
	case use && units:
		req.UsedUnits = append(req.UsedUnits, r.used)
		wanted := min(math.Ceil(r.demand*wantedStepsPerUnit), math.MaxUint32)
		req.WantedUnits = append(req.WantedUnits, uint32(wanted))
	case use:
		req.Demand = append(req.Demand, float32(r.demand))
	}
}

// readReports decodes one report for each position of the layout and appends it to reports. It
// returns false if the columns do not match the layout.
func readReports(req *apipb.RenewRequest, l *layout, reports []report) ([]report, bool) {
	holds, uses := newRunReader(req.GetHeldRuns()), newRunReader(req.GetUseRuns())
	rate, depth, units := newColumnReader(req.GetHeldRate()), newColumnReader(req.GetHeldDepth()), newColumnReader(req.GetHeldUnits())
	demand, used, wanted := newColumnReader(req.GetDemand()), newColumnReader(req.GetUsedUnits()), newColumnReader(req.GetWantedUnits())
	for i := range l.positions {
		isUnits := l.positions[i].kind == apipb.ResourceKind_RESOURCE_KIND_UNITS
		r := report{held: l.positions[i].granted}
		switch held := holds.next(); {
		case held && isUnits:
			r.held.units = units.next()
		case held:
			r.held.rate, r.held.depth = sanitizeAmount(float64(rate.next())), sanitizeAmount(float64(depth.next()))
		}
		switch use := uses.next(); {
		case use && isUnits:
			r.used, r.demand = used.next(), float64(wanted.next())/wantedStepsPerUnit
		case use:
			r.demand = sanitizeAmount(float64(demand.next()))
		}
		reports = append(reports, r)
	}
	return reports, holds.done() && uses.done() && rate.done() && depth.done() && units.done() &&
		demand.done() && used.done() && wanted.done()
}

// writeShare appends one position to the columns of a reply. A share that equals what was
// reported as held is left out.
func writeShare(reply *apipb.RenewReply, kind apipb.ResourceKind, held, share portion) {
	listed := held != share
	reply.Runs = appendRun(reply.Runs, listed)
	switch {
	case !listed:
	case kind == apipb.ResourceKind_RESOURCE_KIND_UNITS:
		reply.Units = append(reply.Units, share.units)
	default:
		reply.Rate = append(reply.Rate, float32(share.rate))
		reply.Depth = append(reply.Depth, float32(share.depth))
	}
}

// readShares decodes one share for each entry of the request that the reply answers. It returns
// false if the columns do not match the entries.
func readShares(reply *apipb.RenewReply, entries []entry) ([]portion, bool) {
	in := newRunReader(reply.GetRuns())
	rate, depth, units := newColumnReader(reply.GetRate()), newColumnReader(reply.GetDepth()), newColumnReader(reply.GetUnits())
	shares := make([]portion, len(entries))
	for i, e := range entries {
		switch {
		case !in.next():
			shares[i] = e.held
		case e.kind() == apipb.ResourceKind_RESOURCE_KIND_UNITS:
			shares[i].units = units.next()
		default:
			shares[i].rate, shares[i].depth = sanitizeAmount(float64(rate.next())), sanitizeAmount(float64(depth.next()))
		}
	}
	return shares, in.done() && rate.done() && depth.done() && units.done()
}

// roundDown returns the largest float32 that is not above v. The owner counts exactly the amount
// that the holder puts in force, and no sum exceeds its cap.
func roundDown(v float64) float64 {
	f := float32(v)
	if float64(f) > v {
		f = math.Nextafter32(f, 0)
	}
	return float64(f)
}
