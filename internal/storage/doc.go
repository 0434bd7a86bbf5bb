// Package storage keeps what a dispatcher must still know after it died: the writes that it had sent and
// whose outcome is unknown, the sessions that it left open on engines, its incarnations, and what the
// decision module had learned.
//
// Log is an append-only file of checksummed records, State is what the records add up to, Store writes
// records behind the queries in a goroutine of its own and compacts the log when it has grown, and
// RecoveryGuard decides what a restarted dispatcher may do with a query. State and RecoveryGuard do no I/O
// and read no clock. The package decides nothing about engines, and a failing disk must never hold up a
// query.
//
// What cannot be read is set aside, and the dispatcher starts as if it were new.
package storage
