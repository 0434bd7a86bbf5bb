// Package soak runs a fleet of real dispatcher processes among stand-ins for clients, compute nodes and
// discovery, injects faults into processes and links, and judges the rules of the service from what was seen
// on the links.
//
// A seed determines the whole plan of faults (NewPlan); two or three overlap on purpose. Run executes a plan
// and returns a Report. The oracle collects observations while the fleet runs and judges them at the end.
//
// The package reads and writes the protocols with code of its own and must not use the dispatcher's: a
// mistake in shared code would hide itself.
package soak
