// Package cresspass decides, for one gateway that sees only its own traffic, when and on which engine
// each query runs. The design is Q-Cop (Tozer 2009) with a bound on running threads; docs/design.md
// tells what was kept and what was stretched. The types, events and actions stand in
// settings.go, event.go and action.go.
package cresspass
