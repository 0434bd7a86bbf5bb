package standin

import (
	"time"

	"cresspass/internal/protocol/sqlscan"
)

// Outcome is how a run ended; it is empty while the run lasts.
type Outcome string

// The outcomes of a run.
const (
	OutcomeDone      Outcome = "done"
	OutcomeDropped   Outcome = "dropped" // a repeat within the deduplication window: no effect
	OutcomeCancelled Outcome = "cancelled"
	OutcomeFailed    Outcome = "failed"
	OutcomeLost      Outcome = "lost" // its answer was never sent
	OutcomeFull      Outcome = "full" // rejected with 53300
	OutcomeDied      Outcome = "died" // the engine or the connection ended first
	OutcomeGarbage   Outcome = "garbage"
	OutcomeCut       Outcome = "cut" // the connection was closed in the middle of the answer
)

// Run records one query that an engine received. Class and Key are tags; statementID gives the ID.
type Run struct {
	ID, Class, Key string
	Text           string
	Begun, Ended   time.Time
	Outcome        Outcome
	GrantMB        float64
	Priority       int
}

// Runs returns the queries that the engine has received, over all its restarts. Statements with no work are
// not among them, except those about the session.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Run, len(e.runs))
	for i, r := range e.runs {
		out[i] = *r
	}
	return out
}

// recordSessionStatement records a statement about the session as a run of the class tag, so that tests see
// which engine received it.
func (e *Engine) recordSessionStatement(text, firstParameter, tag string) {
	now := time.Now()
	run := &Run{ID: statementID(sqlscan.Tags(text), firstParameter), Class: tag, Text: text, Begun: now,
		Ended: now, Outcome: OutcomeDone}
	e.mu.Lock()
	e.runs = append(e.runs, run)
	e.mu.Unlock()
}
