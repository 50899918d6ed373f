// Package lint checks a steering document for entries that have no effect and for limits that contradict each other.
// It does no I/O. What makes a document invalid is decided by document.Decode alone.
package lint
