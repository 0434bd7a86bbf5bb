package affinity

// State is where a session stands.
type State int

// The states of a session.
const (
	StateFree              State = iota // any engine may take its next statement
	StateInTransaction                  // in a transaction
	StateFailedTransaction              // in a failed transaction: only its end is accepted
	StateSticky                         // not in a transaction, but some Reason ties it to its connection
	StateDraining                       // its engine drains: it ends at the deadline, or becomes free before
	StateEnded                          // its engine connection is gone
)

// String names the state.
func (s State) String() string {
	return [...]string{"free", "in transaction", "failed transaction", "sticky", "draining", "ended"}[s]
}

// Transaction status of PostgreSQL's ReadyForQuery message.
const (
	statusIdle              byte = 'I'
	statusInTransaction     byte = 'T'
	statusFailedTransaction byte = 'E'
)
