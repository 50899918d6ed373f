// Package clientmap maps the address of a caller to the region and site that
// its client block belongs to. The most specific block wins.
//
// A Table is immutable. Map replaces its table atomically, so lookups take no lock
// and use either the old or the new table.
package clientmap
