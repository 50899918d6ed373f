package document

// DefaultShiftPointsPerSecond is the limit when the document sets none. Shifts are
// limited because the caches of the region that gains traffic are cold.
const DefaultShiftPointsPerSecond = 5

// ShiftLimits limits how fast traffic shifts between regions.
type ShiftLimits struct {
	// PointsPerSecond is the fastest change of a region's share, in percentage
	// points per second.
	PointsPerSecond float64 `yaml:"points_per_second"`
}
