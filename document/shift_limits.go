package document

// DefaultShiftPointsPerSecond limits shifts where the document does not, because
// the caches of the region that gains traffic are cold.
const DefaultShiftPointsPerSecond = 5

// ShiftLimits limits how fast weights change.
type ShiftLimits struct {
	// PointsPerSecond is the pace of a region's share, in percentage points per second.
	PointsPerSecond float64 `yaml:"points_per_second"`
}
