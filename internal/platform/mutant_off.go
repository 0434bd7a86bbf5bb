//go:build !faults

package platform

// mutantEnabled reports whether a mutant is in force.
func mutantEnabled(mutant) bool { return false }
