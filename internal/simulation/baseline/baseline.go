// Package baseline provides deciders for rehearsals and the simulation: plain policies that the module is
// compared with, and mutants, which are the module without one of its guards. Mutants show that the rule
// checks detect a violation. The released dispatcher contains none of these deciders.
package baseline

import (
	"fmt"

	"cresspass"
	"cresspass/internal/dispatch"
)

// Names of the policies.
const (
	modulePolicy           = "cresspass"
	roundRobinPolicy       = "round-robin"
	leastConnectionsPolicy = "least-connections"
)

// New returns the decider of a policy: "" or "cresspass" is the module, "round-robin" and "least-connections"
// are plain policies. A mutation from 1 to 7 removes the module's guard of the rule with that number; 0
// removes none. New returns an error for an unknown policy, a mutation of a plain policy, and a configuration
// that the module rejects.
func New(policy string, mutation int, cfg cresspass.Config) (dispatch.Decider, error) {
	switch policy {
	case "", modulePolicy:
		return newMutant(mutation, cfg)
	case roundRobinPolicy, leastConnectionsPolicy:
		if mutation != 0 {
			return nil, fmt.Errorf("baseline: mutations apply to the module only, not to policy %s", policy)
		}
		return newPlain(cfg, policy == leastConnectionsPolicy), nil
	}
	return nil, fmt.Errorf("baseline: there is no policy %q", policy)
}
