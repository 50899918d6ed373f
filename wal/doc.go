// Package wal stores the log, hard state and snapshots of a consensus member in
// one directory. Data is durable when Save or SaveSnapshot returns without error.
//
// The directory holds a lock file, an identity file, numbered segments and the
// newest snapshot. A segment is a header followed by records; a record is a
// length, a CRC-32C and an encoded WalRecord. The checksum also covers the
// member id and the segment number, so bytes that were copied from another
// segment, or that a client put into the data of an entry, are not mistaken for a
// record.
//
// A torn record at the end of the last segment was never acknowledged and is
// dropped when the log is opened. Any other corruption makes Open fail, because it
// means that acknowledged data is lost.
package wal
