// Package platform serves the platform's protocol (`cresspass node`): clients speak framed Thrift,
// compute nodes HTTP/1.1, and a discovery service streams the list of compute nodes as server-sent
// events. The package is the I/O layer around the decision module: it owns sockets, timers, goroutines,
// file descriptors and signals.
//
// It must not decide where, when or whether a query runs: package cresspass does that, behind package
// dispatch. It must not interpret wire formats either: the protocol packages do that, and they do no I/O.
// It decides only what depends on the state of its sockets: which connection a call uses, whether a
// response can be trusted, and whether a request may still be sent at the moment it is written.
//
// # State and its owners
//
//   - dispatch.Loop runs the decision module in its own goroutine. All other goroutines post events to it;
//     its outputs come back through service.execute, which never blocks.
//   - lifecycle, the goroutine that called Run: signals, reloads and the phases of a graceful shutdown.
//   - frontend.mu: the client connections and the open requests. One goroutine accepts connections.
//   - clientConn: one goroutine reads and closes it; clientConn.mu guards the output. While the client's
//     socket does not accept all of the output, a second goroutine writes it.
//   - attempt: one goroutine makes its calls; attempt.mu guards the fields that stop uses.
//   - nodePool.mu: the idle connections to compute nodes and the calls that wait for one.
//   - watcher.mu: the list of compute nodes. One goroutine polls, with one more for each pending call.
//   - service.mu: the attempts that have not ended, and how many ended with each outcome.
//   - requestGuard and stallMonitor have their own locks.
//
// Lock order: service, attempt, nodeConn; frontend, clientConn, stallMonitor. The locks of requestGuard,
// dispatch.Loop and eventlog.Log are taken last. The locks of nodePool and watcher are taken alone, except
// that watcher's may be held while dispatch.Loop's is taken.
package platform
