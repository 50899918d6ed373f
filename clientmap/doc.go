// Package clientmap maps the address of a caller to the region and site that
// its client block belongs to. The most specific block wins.
//
// A table is built once and never changes. Map replaces the table in one atomic
// step, so look-ups take no lock and see either the old or the new table.
package clientmap
