// Package document defines the steering document: the YAML file in which operators
// set the regions that serve traffic, the limits on it and the customers that may
// send it.
//
// Decode is strict: it reports every problem with its line and field, and rejects a
// document that has any. The same bytes must be valid in the trial and the
// production environment, so a document holds no addresses.
package document
