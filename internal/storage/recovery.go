package storage

import "time"

// Decision is what a restarted dispatcher may do with a query.
type Decision int

// The decisions.
const (
	// Allow handles the query as usual.
	Allow Decision = iota
	// Delay holds the query back for a while: an earlier write with its ordering key may still be running.
	Delay
	// Reject rejects the query with a time after which to retry: the same write may have run on one group of
	// engines, and another group would run it again.
	Reject
)

// String returns the decision's name.
func (d Decision) String() string {
	switch d {
	case Allow:
		return "allow"
	case Delay:
		return "delay"
	case Reject:
		return "reject"
	}
	return "unknown"
}

// RecoveryGuard decides about the queries that a dispatcher receives after its restart, from the writes that
// earlier incarnations left without a known outcome. All its times count from the restart, by a clock that
// does not step. It does no I/O, and is not safe for concurrent use.
type RecoveryGuard struct {
	settleDelay time.Duration
	writes      []recoveredWrite
}

// recoveredWrite is a write with the rest of its deduplication window at the restart.
type recoveredWrite struct {
	WriteAttempt
	windowLeft time.Duration
}

// NewRecoveryGuard returns the guard of a dispatcher that restarted with a state. settleDelay is how long,
// counted from the restart, the ordering key of a write with an unknown outcome stays unused.
func NewRecoveryGuard(s *State, restartedAt Instant, settleDelay time.Duration) *RecoveryGuard {
	g := &RecoveryGuard{settleDelay: settleDelay}
	for _, w := range s.PendingWrites(restartedAt) {
		g.writes = append(g.writes, recoveredWrite{w, w.Window - restartedAt.Sub(w.sentInstant())})
	}
	return g
}

// Remaining returns the number of writes that may still delay or reject a query, as of the last Check.
func (g *RecoveryGuard) Remaining() int { return len(g.writes) }

// Check decides about a query of a class, with an ordering key ("" means none) and the hash of its text and
// parameters (0 matches no write), at a time since the restart. It also returns for how long the decision
// holds.
//
// When the dispatcher crashes, the outcome of a write in flight is unknown, so its key is not used until
// settleDelay after the restart. A repeat of the same query is harmless only as long as engines drop it.
// If only one group of engines drops the repeat, the repeat is rejected until the window is over, because the
// decision module has no input that names the group. A rejection promises that a later retry is harmless.
// That holds: by then the group has run the write or never will, and the client's next attempt is a new query
// by the client's own decision.
func (g *RecoveryGuard) Check(sinceRestart time.Duration, class, key string, hash uint64) (Decision,
	time.Duration) {
	decision, wait := Allow, time.Duration(0)
	remaining := g.writes[:0]
	for _, w := range g.writes {
		windowLeft, settleLeft := w.windowLeft-sinceRestart, g.settleDelay-sinceRestart
		if windowLeft <= 0 && settleLeft <= 0 {
			continue
		}
		remaining = append(remaining, w)
		sameQuery := w.Class == class && w.Hash == hash && hash != 0
		if sameQuery && !w.AllEngines && windowLeft > 0 {
			decision, wait = Reject, max(wait, windowLeft)
		}
		if decision != Reject && key != "" && w.Key == key && settleLeft > 0 {
			decision, wait = Delay, max(wait, settleLeft)
		}
	}
	g.writes = remaining
	return decision, wait
}
