package server_test

import (
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"cresspass"
	"cresspass/internal/dispatch"
	"cresspass/internal/invariant"
	"cresspass/internal/simulation/baseline"
	"cresspass/internal/standin"
)

// TestInvariantGuardBlocksUnsafeRetry checks that the invariant guard enforces rule 2 if the decider breaks
// it: a statement that changes data and may have run is not sent again, and the violation is counted.
func TestInvariantGuardBlocksUnsafeRetry(t *testing.T) {
	const unguardedRule = 2 // the rule that the decider does not keep
	r := startEngines(t, 3)
	for _, e := range r.Engines {
		e.SetFaults(standin.Faults{ErrorShare: 1})
	}
	s, err := r.StartDispatcherWith(baseSettings, nil, func(m cresspass.Config) (dispatch.Decider, error) {
		return baseline.New("", unguardedRule, m)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	c := dialServer(t, s)
	c.send(&pgproto3.Query{String: "insert into t select 1 /*id='once'*/"})
	if seen := strings.Join(c.readUntil("Z"), " "); !strings.Contains(seen, "E") {
		t.Errorf("the client got %q, want an error", seen)
	}
	ran := 0
	for _, e := range r.Engines {
		for _, v := range e.Runs() {
			if v.ID == "once" {
				ran++
			}
		}
	}
	violated, _ := s.Invariants()
	if ran != 1 || violated[invariant.RetriedNonIdempotent] == 0 {
		t.Errorf("it ran %d times, want once; violations %v", ran, violated)
	}
}
