// Package soak runs a fleet of real dispatcher processes against stand-ins for clients, compute nodes and the
// discovery service. It injects faults into processes and links, and judges the safety rules from what it
// observes on the links.
//
// A seed determines the whole plan of faults (NewPlan); two or three faults overlap on purpose. Run executes
// a plan and returns a Report. The oracle records observations while the fleet runs and judges them at the
// end.
//
// The package has its own code for the protocols and must not use the dispatcher's: a mistake in shared code
// would affect both sides alike and go unnoticed.
package soak
