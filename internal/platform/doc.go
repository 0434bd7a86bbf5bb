// Package platform serves the platform's protocol (`cresspass node`): clients speak framed Thrift,
// compute nodes HTTP/1.1, and a discovery service streams the list of compute nodes as server-sent
// events. The package is the I/O shell around the decision module: it owns sockets, timers, goroutines,
// descriptors and signals.
//
// It must not decide where, when or whether a query runs: package cresspass does that, behind package
// dispatch. It must not know what bytes mean either: that is the work of the protocol packages, which do
// no I/O. What it decides itself is what only sockets show: which connection a call takes, whether a
// response can be trusted, and whether a request may still be sent at the moment it is written.
//
// # State and its owners
//
//   - dispatch.Loop runs the decision module in a goroutine of its own. All others post events to it; its
//     outputs come back through service.execute, which never blocks.
//   - lifecycle, the goroutine that called Run: signals, reloads and the phases of a graceful shutdown.
//   - frontend.mu: the client connections and the open requests. One goroutine accepts.
//   - clientConn: one goroutine reads and closes it; clientConn.mu guards the output, which a second
//     goroutine writes for as long as the client doesn't take it.
//   - attempt: one goroutine makes its calls; attempt.mu guards what stop needs.
//   - nodePool.mu: the idle connections to compute nodes and the calls that wait for one.
//   - watcher.mu: the list of compute nodes. One goroutine polls, with one more for each call under way.
//   - service.mu: the attempts that have not ended, and how many ended with each outcome.
//   - requestGuard and stallMonitor have locks of their own.
//
// A lock is only taken in this order: service, attempt, nodeConn; frontend, clientConn, stallMonitor; the
// locks of requestGuard, dispatch.Loop and eventlog.Log are taken last. nodePool and watcher are taken
// alone, but for watcher before dispatch.Loop.
package platform
