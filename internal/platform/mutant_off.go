//go:build !faults

package platform

// mutantEnabled reports whether a mutant is enabled; it is always false without the build tag faults.
func mutantEnabled(mutant) bool { return false }
