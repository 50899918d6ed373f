// Package telemetry builds the logger, meters and tracers of a process.
//
// Nothing is registered globally: New returns a value that owns its providers,
// so that several instances can run in one process.
//
// API keys of callers and tokens of operators must never be passed to this package,
// neither in a log field or message nor in a metric attribute, span name or span
// attribute. Code that handles a key passes the customer's name or the key's id
// instead. The package does not redact secrets.
package telemetry
