// Package settings holds what the thin daemons share around their start and
// stop: parsing flags and PM_* environment variables, opening listeners,
// reporting readiness, and running until a signal.
//
// Fields of a settings struct use the tags of kong. In addition the tags min
// and max bound durations and numbers. A wrong setting gives one *InvalidError
// that names the flag, its environment variable, the value and what is allowed.
// A setting whose value must not be printed carries the tag secret:"".
package settings
