// Package baseline has deciders for rehearsals and the simulation: plain policies to compare the module with,
// and mutants, which are the module without one of its guards, to see that the checks of the rules notice.
// The dispatcher that ships contains none of it.
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
// are plain. A mutation of 1 to 7 removes the module's guard of the rule with that number; 0: none.
func New(policy string, mutation int, cfg cresspass.Config) (dispatch.Decider, error) {
	switch policy {
	case "", modulePolicy:
		return newMutant(mutation, cfg)
	case roundRobinPolicy, leastConnectionsPolicy:
		if mutation != 0 {
			return nil, fmt.Errorf("baseline: a mutation is of the module, not of %s", policy)
		}
		return newPlain(cfg, policy == leastConnectionsPolicy), nil
	}
	return nil, fmt.Errorf("baseline: there is no policy %q", policy)
}
