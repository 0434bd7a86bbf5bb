// Package cresspass decides when each query runs and on which engine. It does so for one gateway, which
// knows other gateways' traffic only from reports of peers and engines. The design is Q-Cop (Tozer 2009)
// with a limit on running threads; docs/design.md lists what was kept of Q-Cop and what was changed.
//
// A Gateway is a pure state machine: Handle takes the clock and events (event.go) and returns actions
// (action.go). It holds the gateway's whole state, learnt values included. The package must not do I/O,
// read a clock, start a goroutine or import another package of this module. The same seed, settings, times
// and events yield the same actions.
//
// Each concern has its own file: admission.go, placement.go, estimator.go, concurrency.go, pressure.go,
// slowstart.go, outlier.go, retry.go, ordering.go, quota.go, memory.go, gossip.go, load_report.go,
// membership.go, snapshot.go.
package cresspass
