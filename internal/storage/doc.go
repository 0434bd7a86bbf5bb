// Package storage keeps what a dispatcher must still know after a crash: the writes that it had sent and
// whose outcome is unknown, the sessions that it left open on engines, its incarnations, and what the
// decision module had learned. An incarnation is one run of a dispatcher's process.
//
// Log is an append-only file of checksummed records. State is the result of applying the records in order.
// Store appends records asynchronously, in a goroutine of its own, and compacts the log when it has grown.
// RecoveryGuard decides what a restarted dispatcher may do with a query. State and RecoveryGuard do no I/O
// and read no clock. The package makes no decisions about engines, and a failing disk must never delay a
// query.
//
// A file of another format is set aside, and the dispatcher starts without state.
package storage
