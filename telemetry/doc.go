// Package telemetry builds the logger, meters and tracers of a process.
//
// Nothing is registered globally: New returns a value that owns its providers,
// so that many instances can run in one process.
//
// Keys of callers and tokens of operators must never be passed to this package:
// not as log field or message, metric attribute, span name or span attribute.
// Code that handles a key passes on the customer's name or the key's id
// instead. The package therefore does not search values for secrets.
package telemetry
