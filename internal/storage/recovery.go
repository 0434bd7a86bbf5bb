package storage

import "time"

// Decision is what a restarted dispatcher may do with a query.
type Decision int

// The decisions.
const (
	// Allow treats the query as any other.
	Allow Decision = iota
	// Delay holds the query for a while: an earlier write with its ordering key may be running yet.
	Delay
	// Reject refuses the query and says when to retry: it may have run on a group of engines, and another
	// group would run it again.
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

// RecoveryGuard decides about the queries that come to a dispatcher after its restart, by the writes that
// its earlier incarnations left without a known outcome. All its times are since the restart, by a clock
// that does not step. It does no I/O, and is for one goroutine at a time.
type RecoveryGuard struct {
	settleDelay time.Duration
	writes      []recoveredWrite
}

// recoveredWrite is a write with what was left of its deduplication window at the restart.
type recoveredWrite struct {
	WriteAttempt
	windowLeft time.Duration
}

// NewRecoveryGuard returns the guard of a dispatcher that restarted with a state. settleDelay is how long an
// ordering key is not used after a write with an unknown outcome.
func NewRecoveryGuard(s *State, restartedAt Instant, settleDelay time.Duration) *RecoveryGuard {
	g := &RecoveryGuard{settleDelay: settleDelay}
	for _, w := range s.PendingWrites(restartedAt) {
		g.writes = append(g.writes, recoveredWrite{w, w.Window - restartedAt.Sub(w.sentInstant())})
	}
	return g
}

// Remaining returns the number of writes that still count.
func (g *RecoveryGuard) Remaining() int { return len(g.writes) }

// Check decides about a query of a class, with an ordering key and the hash of its text, at a time since the
// restart, and says for how long the decision holds.
//
// The death of its own dispatcher leaves the outcome of a write unknown, so that its key is not used for
// settleDelay from the restart on. A repeat of the same query is harmless only where engines still drop it.
// Where only one group of engines does, the decision module cannot be told which, and the repeat is rejected
// until the window is over. A rejection promises that a later retry is harmless. It is: by then that group
// has run the write or never will, and the client's next attempt is a new query by its own decision.
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
