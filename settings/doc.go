// Package settings provides what all daemons need to start and stop: it parses
// flags and PM_* environment variables, opens listeners, reports readiness, and
// runs a function until a signal arrives.
//
// Fields of a settings struct use the tags of kong. The additional tags min and
// max bound durations and numbers. An invalid setting results in an *InvalidError
// that names the flag, its environment variable, the value and the allowed values.
// A setting whose value must not be printed has the tag secret:"".
package settings
