package affinity

// State is the state of a session.
type State int

// The states of a session.
const (
	StateFree              State = iota // any engine may take its next statement
	StateInTransaction                  // in a transaction
	StateFailedTransaction              // in a failed transaction: only its end is accepted
	StateSticky                         // not in a transaction, but a Reason binds it to its connection
	StateDraining                       // its engine drains; the session becomes free or ends at the deadline
	StateEnded                          // the session was ended, or its engine connection was lost
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"free", "in transaction", "failed transaction", "sticky", "draining", "ended"}[s]
}

// Values of the transaction status in PostgreSQL's ReadyForQuery message.
const (
	statusIdle              byte = 'I'
	statusInTransaction     byte = 'T'
	statusFailedTransaction byte = 'E'
)
