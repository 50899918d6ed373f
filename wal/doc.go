// Package wal keeps a consensus member's log, hard state and snapshots in one
// folder. What Save and SaveSnapshot have returned for is durable.
//
// The folder holds a lock file, an identity file, numbered segments and the
// newest snapshot. A segment is a header followed by records; a record is a
// length, a CRC-32C and an encoded WalRecord. The checksum also covers the
// member id and the segment number, so a record that was copied from elsewhere,
// or that a client put into the data of an entry, is not taken for a record.
//
// A record cut short at the end of the last segment was never acknowledged and
// is dropped when the log is opened. Any other damage refuses to open, because
// it means that acknowledged data is gone.
package wal
