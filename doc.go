// Package cresspass decides, for one gateway that sees only its own traffic, when and on which engine each
// query runs. The design is Q-Cop (Tozer 2009) with a limit on running threads; docs/design.md says what
// was kept of it and what was changed.
//
// A Gateway is a pure state machine: Handle takes the clock and events (event.go) and returns actions
// (action.go). It owns all that a gateway has learnt and holds, and must not do input or output, read a
// clock, start a goroutine or import another package of this module. The same seed, settings and events
// give the same actions.
//
// Each concern has a file: admission.go, placement.go, estimator.go, concurrency.go, pressure.go,
// slowstart.go, outlier.go, retry.go, ordering.go, quota.go, memory.go, gossip.go, load_report.go,
// membership.go, snapshot.go.
package cresspass
