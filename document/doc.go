// Package document defines the steering document: the one YAML file with which
// operators say where traffic goes, how much it may carry and who may send it.
//
// Decode is strict: every problem is reported with its line and field, and a
// document with a problem has no effect. The same bytes are valid in the trial
// and the production environment, so a document holds no addresses.
package document
